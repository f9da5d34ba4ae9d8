import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON. Objects are maps, lists are lists, integers are Long or BigInteger, other numbers Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(byte[] body) {
        return (Map<String, Object>) parse(new String(body, java.nio.charset.StandardCharsets.UTF_8));
    }

    /** A map of the names and values that follow each other in [parts]. */
    static Map<String, Object> map(Object... parts) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < parts.length; i += 2) map.put((String) parts[i], parts[i + 1]);
        return map;
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private char peek() {
        space();
        if (at >= text.length()) throw new IllegalArgumentException("the JSON ends early");
        return text.charAt(at);
    }

    private void expect(char c) {
        if (peek() != c) throw new IllegalArgumentException("expected " + c + " at " + at);
        at++;
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            if (peek() == '}') {
                at++;
                return map;
            }
            while (true) {
                peek();
                String name = string();
                expect(':');
                map.put(name, value());
                if (peek() == ',') at++;
                else break;
            }
            expect('}');
            return map;
        }
        if (c == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            if (peek() == ']') {
                at++;
                return list;
            }
            while (true) {
                list.add(value());
                if (peek() == ',') at++;
                else break;
            }
            expect(']');
            return list;
        }
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && "+-.0123456789aeflnrstuE".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(from, at);
        switch (word) {
            case "true": return Boolean.TRUE;
            case "false": return Boolean.FALSE;
            case "null": return null;
            default:
        }
        if (word.matches("-?[0-9]+")) {
            BigInteger integer = new BigInteger(word);
            return integer.bitLength() < 64 ? (Object) integer.longValue() : integer;
        }
        return Double.parseDouble(word);
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(e);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                if (!first) out.append(',');
                first = false;
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            boolean first = true;
            for (Object item : (List<?>) value) {
                if (!first) out.append(',');
                first = false;
                write(item, out);
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
