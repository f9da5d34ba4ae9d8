import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are LinkedHashMap, lists ArrayList, numbers Long or Double. */
final class Json {
    private final String s;
    private int i;

    private Json(String s) {
        this.s = s;
    }

    static Object parse(String text) {
        Json p = new Json(text);
        Object v = p.value();
        p.blank();
        if (p.i != text.length()) throw new IllegalArgumentException("text after the value");
        return v;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> of(Object... keysAndValues) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int k = 0; k < keysAndValues.length; k += 2) m.put((String) keysAndValues[k], keysAndValues[k + 1]);
        return m;
    }

    static long num(Object v) {
        return ((Number) v).longValue();
    }

    static double dbl(Object v) {
        return ((Number) v).doubleValue();
    }

    private void blank() {
        while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++;
    }

    private Object value() {
        blank();
        char c = s.charAt(i);
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            i++;
            blank();
            if (s.charAt(i) == '}') {
                i++;
                return m;
            }
            while (true) {
                blank();
                String k = string();
                blank();
                expect(':');
                m.put(k, value());
                blank();
                if (s.charAt(i) == ',') {
                    i++;
                    continue;
                }
                expect('}');
                return m;
            }
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            i++;
            blank();
            if (s.charAt(i) == ']') {
                i++;
                return l;
            }
            while (true) {
                l.add(value());
                blank();
                if (s.charAt(i) == ',') {
                    i++;
                    continue;
                }
                expect(']');
                return l;
            }
        }
        if (c == '"') return string();
        int from = i;
        while (i < s.length() && "+-.eE0123456789abcdefghijklmnopqrstuvwxyz".indexOf(s.charAt(i)) >= 0) i++;
        String w = s.substring(from, i);
        switch (w) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default:
        }
        if (w.matches("-?[0-9]+")) return Long.parseLong(w);
        return Double.parseDouble(w);
    }

    private void expect(char c) {
        if (s.charAt(i) != c) throw new IllegalArgumentException("expected " + c + " at " + i);
        i++;
    }

    private String string() {
        expect('"');
        StringBuilder b = new StringBuilder();
        while (true) {
            char c = s.charAt(i++);
            if (c == '"') return b.toString();
            if (c != '\\') {
                b.append(c);
                continue;
            }
            char e = s.charAt(i++);
            switch (e) {
                case 'n': b.append('\n'); break;
                case 't': b.append('\t'); break;
                case 'r': b.append('\r'); break;
                case 'b': b.append('\b'); break;
                case 'f': b.append('\f'); break;
                case 'u':
                    b.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
                    i += 4;
                    break;
                default: b.append(e);
            }
        }
    }

    static String text(Object v) {
        StringBuilder b = new StringBuilder();
        write(v, b);
        return b.toString();
    }

    private static void write(Object v, StringBuilder b) {
        if (v instanceof Map) {
            b.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) {
                if (!first) b.append(',');
                first = false;
                write(e.getKey(), b);
                b.append(':');
                write(e.getValue(), b);
            }
            b.append('}');
        } else if (v instanceof List) {
            b.append('[');
            boolean first = true;
            for (Object e : (List<?>) v) {
                if (!first) b.append(',');
                first = false;
                write(e, b);
            }
            b.append(']');
        } else if (v instanceof String) {
            b.append('"');
            for (char c : ((String) v).toCharArray()) {
                if (c == '"' || c == '\\') b.append('\\').append(c);
                else if (c < 0x20) b.append(String.format("\\u%04x", (int) c));
                else b.append(c);
            }
            b.append('"');
        } else {
            b.append(v);
        }
    }
}
