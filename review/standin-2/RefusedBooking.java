import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Bookings through three daemons while one of three servers fails part of its requests: it runs them and then answers
 * 503 without X-Not-Executed. The rule is broken if a caller gets 429, 503, 408 or 421 for a booking that has run.
 */
final class RefusedBooking {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final double FAILING_SHARE = 0.4;
    private static final int GREY_FROM_MILLIS = 2_000;
    private static final int GREY_MILLIS = 6_000;
    private static final int LENGTH_MILLIS = 10_000;
    private static final int GAP_MILLIS = 80;
    private static final int DEADLINE_MILLIS = 1_500;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[1]))) {
            try {
                code = run(Path.of(arguments[0]), trouble, record);
            } catch (Exception failure) {
                record.add("could not run: " + failure);
                failure.printStackTrace();
            }
        }
        System.exit(code);
    }

    private static int run(Path top, boolean trouble, Record record) throws Exception {
        Deployment deployment = new Deployment(top, 3, 20, record);
        Random random = new Random(7);
        long startNanos = System.nanoTime();
        Server grey = deployment.servers.get(0);
        grey.answer = (request, attempt) -> {
            long millis = (System.nanoTime() - startNanos) / 1_000_000 - GREY_FROM_MILLIS;
            boolean fails;
            synchronized (random) {
                fails = trouble && millis >= 0 && millis < GREY_MILLIS && random.nextDouble() < FAILING_SHARE;
            }
            return fails
                ? grey.stamped("HTTP/1.1 503 Service Unavailable", attempt).body("the ledger does not answer")
                : grey.success(request, attempt);
        };
        List<Caller.Result> results = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        List<String> doubled = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; (System.nanoTime() - startNanos) / 1_000_000 < LENGTH_MILLIS; i++) {
            String booking = String.format("%08x", 0x9c41d000 + i);
            Entry entry = deployment.entries.get(i % 3);
            Entry other = deployment.entries.get((i + 1) % 3);
            callers.add(Task.start("caller", () -> {
                Caller.Result first = Caller.book(entry, booking + "00", DEADLINE_MILLIS, record);
                results.add(first);
                if (!PROMISES.contains(first.status())) return;
                long leftMillis = DEADLINE_MILLIS - (System.nanoTime() - first.sentNanos()) / 1_000_000;
                String after = first.response().find("Retry-After");
                Thread.sleep(after == null ? 0 : Math.min(leftMillis / 3, (long) (Double.parseDouble(after) * 1000)));
                Caller.Result second = Caller.book(other, booking + "01", leftMillis * 2 / 3, record);
                results.add(second);
                int runs = record.runsOf(booking + "00").size() + record.runsOf(booking + "01").size();
                if (runs > 1) doubled.add(booking);
            }));
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread caller : callers) caller.join(2L * DEADLINE_MILLIS);
        Thread.sleep(500);
        int broken = 0;
        int refused = 0;
        for (Caller.Result result : new ArrayList<>(results)) {
            if (!PROMISES.contains(result.status())) continue;
            refused += 1;
            List<String> runs = record.runsOf(result.attempt());
            if (runs.isEmpty()) continue;
            broken += 1;
            record.add("REFUSED: " + result.attempt() + " was answered " + result.status() + " and has run on " + runs);
        }
        return record.verdict(broken > 0, results.size() + " bookings sent, " + refused
            + " answered as not run, " + broken + " of these had run; " + doubled.size() + " callers booked twice");
    }
}
