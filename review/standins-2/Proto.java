import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Encodes and reads the few protocol buffers that the configuration's interface needs. */
final class Proto {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private void varint(long value) {
        long rest = value;
        while ((rest & ~0x7FL) != 0) {
            out.write((int) (rest & 0x7F | 0x80));
            rest >>>= 7;
        }
        out.write((int) rest);
    }

    Proto integer(int field, long value) {
        varint((long) field << 3);
        varint(value);
        return this;
    }

    Proto text(int field, String value) {
        return bytes(field, value.getBytes(StandardCharsets.UTF_8));
    }

    Proto bytes(int field, byte[] value) {
        varint((long) field << 3 | 2);
        varint(value.length);
        out.write(value, 0, value.length);
        return this;
    }

    Proto number(int field, double value) {
        varint((long) field << 3 | 1);
        byte[] bytes = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN).putDouble(value).array();
        out.write(bytes, 0, bytes.length);
        return this;
    }

    byte[] encoded() {
        return out.toByteArray();
    }

    /** The integers of a message by their field. Other fields are skipped. */
    static Map<Integer, Long> integers(byte[] message) {
        Map<Integer, Long> found = new HashMap<>();
        int[] at = {0};
        while (at[0] < message.length) {
            long tag = read(message, at);
            switch ((int) (tag & 7)) {
                case 0: found.put((int) (tag >> 3), read(message, at)); break;
                case 1: at[0] += 8; break;
                case 2: at[0] += (int) read(message, at); break;
                default: at[0] += 4;
            }
        }
        return found;
    }

    private static long read(byte[] message, int[] at) {
        long value = 0;
        int shift = 0;
        while (true) {
            byte next = message[at[0]++];
            value |= (next & 0x7FL) << shift;
            if (next >= 0) return value;
            shift += 7;
        }
    }
}
