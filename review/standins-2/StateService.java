import com.sun.net.httpserver.HttpServer;
import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A stand-in of the state service, as the page of the protocols describes it. Its rate limits are not enforced. */
final class StateService {
    private static final class Entry {
        Object value;
        long mark;
        BigInteger permit;
    }

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    private static final class Change {
        String key;
        Object value;
        boolean isDelete;
        long mark;
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<BigInteger, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Random random = new Random(1);
    private long revision = 1;
    private long dropped = 0;
    private boolean isDown = false;

    /** The number of the next lease; each lease has the next one. */
    BigInteger nextPermit = BigInteger.valueOf(7);

    /** The share of transactions that get no answer and are carried out 2 to 12 s later. */
    volatile double lateShare = 0;

    final HttpServer server;
    final String addr;
    private final Record record;

    StateService(Record record) throws Exception {
        this.record = record;
        server = Http.serve(this::handle);
        addr = "127.0.0.1:" + server.getAddress().getPort();
        Thread clock = new Thread(() -> {
            while (true) {
                try {
                    Thread.sleep(40);
                } catch (InterruptedException e) {
                    return;
                }
                expire();
            }
        });
        clock.setDaemon(true);
        clock.start();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized void setDown(boolean down) {
        isDown = down;
        if (!down) for (Lease lease : leases.values()) lease.endsAt = now() + lease.lifeMs;
        notifyAll();
    }

    /** The keys under a prefix, for the record. */
    synchronized List<String> keysUnder(String prefix) {
        List<String> found = new ArrayList<>();
        for (String key : keys.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) break;
            found.add(key);
        }
        return found;
    }

    private synchronized void expire() {
        if (isDown) return;
        for (BigInteger id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAt < now()) end(id);
    }

    private void end(BigInteger id) {
        if (leases.remove(id) == null) return;
        List<String> attached = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.entrySet()) if (id.equals(entry.getValue().permit)) attached.add(entry.getKey());
        if (attached.isEmpty()) return;
        revision++;
        for (String key : attached) {
            keys.remove(key);
            add(key, null, true);
        }
        notifyAll();
    }

    private void add(String key, Object value, boolean isDelete) {
        Change change = new Change();
        change.key = key;
        change.value = value;
        change.isDelete = isDelete;
        change.mark = revision;
        changes.addLast(change);
        while (changes.size() > 10_000) dropped = changes.removeFirst().mark;
    }

    private static BigInteger big(Object number) {
        return number instanceof BigInteger ? (BigInteger) number : BigInteger.valueOf(((Number) number).longValue());
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        if (request.path.equals("/watch")) return watch(request);
        synchronized (this) {
            if (isDown) return new Http.Answer(503, Json.map("error", "trouble"));
        }
        expire();
        if (request.path.equals("/txn")) {
            Map<String, Object> body = Json.object(request.body);
            boolean isLate;
            long delayMs;
            synchronized (this) {
                isLate = random.nextDouble() < lateShare;
                delayMs = 2000 + random.nextInt(10_000);
            }
            if (!isLate) return transact(body);
            record.line("state service: a transaction gets no answer and is carried out in " + delayMs + " ms: " + puts(body));
            Http.run(() -> {
                try {
                    Thread.sleep(delayMs);
                } catch (InterruptedException e) {
                    return;
                }
                Http.Answer answer = transact(body);
                record.line("state service: late transaction, status " + answer.status + ": " + puts(body));
            });
            return null;
        }
        if (request.path.equals("/keys")) return list(request);
        if (request.path.startsWith("/keys/")) return get(request.path.substring("/keys/".length()));
        if (request.path.equals("/grants")) {
            synchronized (this) {
                Lease lease = new Lease();
                lease.lifeMs = ((Number) Json.object(request.body).get("life_ms")).longValue();
                lease.endsAt = now() + lease.lifeMs;
                BigInteger id = nextPermit;
                nextPermit = nextPermit.add(BigInteger.ONE);
                leases.put(id, lease);
                record.line("state service: granted permit " + id);
                return new Http.Answer(200, Json.map("permit", id));
            }
        }
        if (request.path.startsWith("/grants/")) {
            BigInteger id = new BigInteger(request.path.split("/")[2]);
            synchronized (this) {
                if (request.method.equals("DELETE")) {
                    end(id);
                    return new Http.Answer(200, Json.map());
                }
                Lease lease = leases.get(id);
                if (lease == null) return new Http.Answer(404, Json.map("error", "no such lease"));
                lease.endsAt = now() + lease.lifeMs;
                return new Http.Answer(200, Json.map());
            }
        }
        return new Http.Answer(400, Json.map("error", "malformed"));
    }

    @SuppressWarnings("unchecked")
    private static String puts(Map<String, Object> body) {
        List<String> names = new ArrayList<>();
        for (Object item : (List<Object>) body.getOrDefault("then", List.of())) {
            Map<String, Object> change = (Map<String, Object>) item;
            names.add(change.containsKey("put") ? "put " + change.get("put") : "delete " + change.get("delete"));
        }
        return names.toString();
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transact(Map<String, Object> body) {
        List<Object> failed = new ArrayList<>();
        List<Object> conditions = (List<Object>) body.getOrDefault("when", List.of());
        List<Object> writes = (List<Object>) body.getOrDefault("then", List.of());
        for (Object item : writes) {
            Object permit = ((Map<String, Object>) item).get("permit");
            if (permit != null && !leases.containsKey(big(permit))) return new Http.Answer(400, Json.map("error", "no such lease"));
            Map<String, Object> write = (Map<String, Object>) item;
            if (!isKey(write.containsKey("put") ? write.get("put") : write.get("delete"))) {
                record.line("state service: malformed key, 400: " + puts(body));
                return new Http.Answer(400, Json.map("error", "malformed"));
            }
            Object value = ((Map<String, Object>) item).get("value");
            if (value != null && Json.write(value).length() > 16 * 1024) return new Http.Answer(400, Json.map("error", "too large"));
        }
        for (Object item : conditions) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Entry entry = keys.get((String) condition.get("k"));
            if ((entry == null ? 0 : entry.mark) != ((Number) condition.get("mark")).longValue()) failed.add(condition.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.map("failed", failed, "odometer", revision));
        if (!writes.isEmpty()) {
            revision++;
            for (Object item : writes) {
                Map<String, Object> change = (Map<String, Object>) item;
                if (change.containsKey("put")) {
                    Entry entry = new Entry();
                    entry.value = change.get("value");
                    entry.mark = revision;
                    entry.permit = change.get("permit") == null ? null : big(change.get("permit"));
                    keys.put((String) change.get("put"), entry);
                    add((String) change.get("put"), entry.value, false);
                } else if (keys.remove((String) change.get("delete")) != null) {
                    add((String) change.get("delete"), null, true);
                }
            }
            notifyAll();
        }
        return new Http.Answer(200, Json.map("odometer", revision));
    }

    /** Keys are strings of 1 to 200 bytes without spaces. */
    private static boolean isKey(Object key) {
        if (!(key instanceof String)) return false;
        int bytes = ((String) key).getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        return bytes >= 1 && bytes <= 200 && ((String) key).indexOf(' ') < 0;
    }

    private static Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> item = Json.map("k", key, "value", entry.value, "mark", entry.mark);
        if (entry.permit != null) item.put("permit", entry.permit);
        return item;
    }

    private synchronized Http.Answer get(String key) {
        Entry entry = keys.get(key);
        if (entry == null) return new Http.Answer(404, Json.map("odometer", revision));
        return new Http.Answer(200, item(key, entry));
    }

    private synchronized Http.Answer list(Http.Request request) {
        String prefix = request.query.getOrDefault("under", "");
        String since = request.query.get("since");
        int page = Math.min(1000, Integer.parseInt(request.query.getOrDefault("page", "1000")));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> entry : keys.tailMap(since == null || since.compareTo(prefix) < 0 ? prefix : since).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                if (entry.getKey().compareTo(prefix) > 0) break;
                continue;
            }
            if (entry.getKey().equals(since)) continue;
            Map<String, Object> item = item(entry.getKey(), entry.getValue());
            bytes += Json.write(item).length();
            if (items.size() >= page || bytes > 512 * 1024) {
                more = true;
                break;
            }
            items.add(item);
        }
        return new Http.Answer(200, Json.map("items", items, "more", more, "odometer", revision));
    }

    private Http.Answer watch(Http.Request request) throws Exception {
        String prefix = request.query.getOrDefault("under", "");
        long since = Long.parseLong(request.query.getOrDefault("since", "0"));
        long until = now() + Math.min(60_000, Long.parseLong(request.query.getOrDefault("hold_ms", "0")));
        synchronized (this) {
            while (true) {
                if (!isDown) {
                    if (since < dropped) return new Http.Answer(410, Json.map("error", "too old"));
                    List<Object> news = new ArrayList<>();
                    for (Change change : changes) {
                        if (change.mark <= since || !change.key.startsWith(prefix)) continue;
                        news.add(change.isDelete ? Json.map("delete", change.key, "mark", change.mark)
                            : Json.map("put", change.key, "value", change.value, "mark", change.mark));
                    }
                    if (!news.isEmpty() || now() >= until) return new Http.Answer(200, Json.map("odometer", revision, "news", news));
                }
                wait(isDown ? 100 : Math.max(1, Math.min(1000, until - now())));
            }
        }
    }
}
