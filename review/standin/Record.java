import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start of the script. */
final class Record {
    private static final long STARTED = System.nanoTime();
    private static PrintWriter out;

    private Record() {
    }

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static synchronized void line(String format, Object... values) {
        String text = String.format("%8.3f  ", seconds()) + String.format(format, values);
        if (out != null) {
            out.println(text);
            out.flush();
        }
    }

    static double seconds() {
        return (System.nanoTime() - STARTED) / 1e9;
    }
}
