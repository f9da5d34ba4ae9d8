import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol, with its limits. */
final class StateService {
    private static final class Entry {
        Object value;
        long mark;
        Long permit;
    }

    private static final class Grant {
        long lifeMs;
        long endsAt;
    }

    private static final class Change {
        String key;
        Object value;
        long mark;
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long odometer;
    private long dropped;
    private long nextGrant = 1;
    private final World world;
    private final World.Bucket requests;
    private final World.Bucket writes;

    StateService(World world) {
        this.world = world;
        requests = new World.Bucket(world.stateRps, 1);
        writes = new World.Bucket(world.stateWriteRps, 1);
        World.thread("grants", () -> {
            while (true) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    private synchronized void expire() {
        long now = World.now();
        for (Long id : new ArrayList<>(grants.keySet())) if (grants.get(id).endsAt < now) end(id);
    }

    private void end(long id) {
        if (grants.remove(id) == null) return;
        List<String> gone = new ArrayList<>();
        for (Map.Entry<String, Entry> e : keys.entrySet()) if (Long.valueOf(id).equals(e.getValue().permit)) gone.add(e.getKey());
        if (gone.isEmpty()) return;
        odometer++;
        for (String k : gone) {
            keys.remove(k);
            changed(k, null);
        }
        notifyAll();
    }

    private void changed(String key, Object value) {
        Change c = new Change();
        c.key = key;
        c.value = value;
        c.mark = odometer;
        changes.addLast(c);
        while (changes.size() > 10_000) dropped = changes.removeFirst().mark;
        if (key.startsWith("c/ledger/") || key.startsWith("c/live/") || key.startsWith("c/fleet") || key.startsWith("c/gone/")) {
            world.record("state " + key + " " + (value == null ? "deleted" : Json.text(value)));
        }
    }

    synchronized String value(String key) {
        Entry e = keys.get(key);
        return e == null ? null : Json.text(e.value);
    }

    private Http.Response error(int status, String text) {
        return new Http.Response(status, Json.of("error", text));
    }

    Http.Response handle(Http.Request r) throws InterruptedException {
        if (!requests.take(1)) return error(429, "too many");
        if (r.path.equals("/watch")) return watch(r);
        synchronized (this) {
            expire();
            if (r.path.equals("/txn")) return transact(r.body);
            if (r.path.equals("/keys")) return list(r);
            if (r.path.startsWith("/keys/")) {
                String k = r.path.substring(6);
                Entry e = keys.get(k);
                return e == null ? new Http.Response(404, Json.of("odometer", odometer)) : new Http.Response(200, item(k, e));
            }
            if (r.path.equals("/grants")) {
                Grant g = new Grant();
                g.lifeMs = Json.num(Json.object(r.body).get("life_ms"));
                g.endsAt = World.now() + g.lifeMs;
                grants.put(nextGrant, g);
                return new Http.Response(200, Json.of("permit", nextGrant++));
            }
            if (r.path.endsWith("/renew")) {
                Grant g = grants.get(Long.parseLong(r.path.split("/")[2]));
                if (g == null) return error(404, "no such lease");
                g.endsAt = World.now() + g.lifeMs;
                return new Http.Response(200, "{}");
            }
            if (r.path.startsWith("/grants/") && r.method.equals("DELETE")) {
                end(Long.parseLong(r.path.split("/")[2]));
                return new Http.Response(200, "{}");
            }
            return error(400, "malformed");
        }
    }

    private Map<String, Object> item(String k, Entry e) {
        Map<String, Object> m = Json.of("k", k, "value", e.value, "mark", e.mark);
        if (e.permit != null) m.put("permit", e.permit);
        return m;
    }

    @SuppressWarnings("unchecked")
    private Http.Response transact(String body) {
        Map<String, Object> t = Json.object(body);
        List<Map<String, Object>> when = (List<Map<String, Object>>) t.getOrDefault("when", new ArrayList<>());
        List<Map<String, Object>> then = (List<Map<String, Object>>) t.getOrDefault("then", new ArrayList<>());
        boolean tooLarge = then.size() > world.txnOps || when.size() > 4 * world.txnOps || body.length() > 65536;
        for (Map<String, Object> c : then) {
            if (c.get("put") != null && Json.text(c.get("value")).length() > world.valueKb * 1024) tooLarge = true;
        }
        if (tooLarge) return error(400, "too large");
        if (!writes.take(then.size())) return error(429, "too many");
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> c : when) {
            Entry e = keys.get((String) c.get("k"));
            if ((e == null ? 0 : e.mark) != Json.num(c.get("mark"))) failed.add(c.get("k"));
        }
        for (Map<String, Object> c : then) {
            if (c.get("permit") != null && !grants.containsKey(Json.num(c.get("permit")))) return error(400, "no such lease");
        }
        if (!failed.isEmpty()) return new Http.Response(409, Json.of("failed", failed, "odometer", odometer));
        if (!then.isEmpty()) {
            odometer++;
            for (Map<String, Object> c : then) {
                String k = (String) c.get("put");
                if (k != null) {
                    Entry e = new Entry();
                    e.value = c.get("value");
                    e.mark = odometer;
                    e.permit = c.get("permit") == null ? null : Json.num(c.get("permit"));
                    keys.put(k, e);
                    changed(k, e.value);
                } else if (keys.remove((String) c.get("delete")) != null) {
                    changed((String) c.get("delete"), null);
                }
            }
            notifyAll();
        }
        return new Http.Response(200, Json.of("odometer", odometer));
    }

    private Http.Response list(Http.Request r) {
        String under = r.query.getOrDefault("under", "");
        String since = r.query.get("since");
        int page = Math.min(1000, Integer.parseInt(r.query.getOrDefault("page", "1000")));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long bytes = 0;
        for (Map.Entry<String, Entry> e : keys.tailMap(under).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (since != null && e.getKey().compareTo(since) <= 0) continue;
            bytes += Json.text(e.getValue().value).length() + e.getKey().length() + 60;
            if (items.size() == page || bytes > 512 * 1024) {
                more = true;
                break;
            }
            items.add(item(e.getKey(), e.getValue()));
        }
        return new Http.Response(200, Json.of("items", items, "more", more, "odometer", odometer));
    }

    private synchronized Http.Response watch(Http.Request r) throws InterruptedException {
        String under = r.query.getOrDefault("under", "");
        long since = Long.parseLong(r.query.getOrDefault("since", "0"));
        long end = World.now() + Long.parseLong(r.query.getOrDefault("hold_ms", "0"));
        while (true) {
            if (since < dropped) return error(410, "too old");
            List<Object> news = new ArrayList<>();
            for (Change c : changes) {
                if (c.mark <= since || !c.key.startsWith(under)) continue;
                if (c.value == null) news.add(Json.of("delete", c.key, "mark", c.mark));
                else news.add(Json.of("put", c.key, "value", c.value, "mark", c.mark));
            }
            long left = end - World.now();
            if (!news.isEmpty() || left <= 0) return new Http.Response(200, Json.of("odometer", odometer, "news", news));
            wait(Math.min(left, 100));
        }
    }
}
