import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run, in the order in which it was seen. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();

    /** A request that reached a server. */
    record Arrival(String server, long nanos) {
    }

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f s  %s", (System.nanoTime() - startNanos) / 1e9, text));
    }

    synchronized void ran(String attempt, String server) {
        runs.computeIfAbsent(attempt, each -> new ArrayList<>()).add(server);
    }

    synchronized void arrived(String attempt, String server) {
        arrivals.computeIfAbsent(attempt, each -> new ArrayList<>()).add(new Arrival(server, System.nanoTime()));
    }

    synchronized List<String> runsOf(String attempt) {
        return new ArrayList<>(runs.getOrDefault(attempt, List.of()));
    }

    synchronized List<Arrival> arrivalsOf(String attempt) {
        return new ArrayList<>(arrivals.getOrDefault(attempt, List.of()));
    }

    /** Ends the record with the [verdict] and returns the exit code. */
    int verdict(boolean broken, String verdict) {
        add((broken ? "BROKEN: " : "held: ") + verdict);
        System.out.println((broken ? "BROKEN: " : "held: ") + verdict);
        return broken ? 1 : 0;
    }

    @Override
    public void close() {
        out.close();
    }
}
