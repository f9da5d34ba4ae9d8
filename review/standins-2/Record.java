import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since its start. */
final class Record {
    private final PrintWriter out;
    private final long beganAt = System.nanoTime();

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - beganAt) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%8.2f  %s%n", seconds(), text);
    }
}
