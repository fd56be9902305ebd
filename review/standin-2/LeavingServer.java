import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Bookings through a daemon that is cut off from the store while a server leaves. The store accepts the server's
 * report, and all its answers say Server-Leaving. It serves for drain_ms and a little longer, then it exits. The rule
 * is broken if it gets a booking that was sent later than drain_ms after the daemon had passed on such an answer.
 */
final class LeavingServer {
    private static final int WORK_MILLIS = 100;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int LINGER_MILLIS = 1_500;
    private static final int CUT_FROM_MILLIS = 2_000;
    private static final int CUT_MILLIS = 5_500;
    private static final int LEAVING_FROM_MILLIS = 2_300;
    private static final int LENGTH_MILLIS = 9_000;
    private static final int GAP_MILLIS = 20;
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
        Deployment deployment = new Deployment(top, 1, WORK_MILLIS, record);
        Server leaving = deployment.servers.get(0);
        Entry entry = deployment.entries.get(0);
        Task.start("disruption", () -> disrupt(deployment, leaving, trouble, record));
        List<Caller.Result> results = Collections.synchronizedList(new ArrayList<>());
        List<long[]> passedOn = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; (System.nanoTime() - startNanos) / 1_000_000 < LENGTH_MILLIS; i++) {
            String attempt = String.format("%016x", 0x9c41d07be2000000L + i);
            callers.add(Task.start("caller", () -> {
                Caller.Result result = Caller.book(entry, attempt, DEADLINE_MILLIS, record);
                results.add(result);
                boolean says = result.response() != null && result.response().find("Server-Leaving") != null;
                if (says) passedOn.add(new long[] {System.nanoTime()});
            }));
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread caller : callers) caller.join(2L * DEADLINE_MILLIS);
        long firstNanos = passedOn.stream().mapToLong(each -> each[0]).min().orElse(Long.MAX_VALUE / 2);
        int late = 0;
        int lost = 0;
        for (Caller.Result result : new ArrayList<>(results)) {
            boolean isLate = result.sentNanos() > firstNanos + DRAIN_MILLIS * 1_000_000L;
            boolean reachedLeaving = record.arrivalsOf(result.attempt()).stream()
                .anyMatch(arrival -> arrival.server().equals(leaving.id));
            if (!isLate || !reachedLeaving) continue;
            late += 1;
            long millis = (result.sentNanos() - firstNanos) / 1_000_000;
            if (result.status() != 200) lost += 1;
            record.add("DRAIN: " + result.attempt() + " was sent " + millis + " ms after the first answer with "
                + "Server-Leaving had been passed on, reached " + leaving.id + " and got " + result.status());
        }
        return record.verdict(late > 0, results.size() + " bookings sent, " + passedOn.size()
            + " answers with Server-Leaving passed on, " + late + " later bookings reached the leaving server, " + lost
            + " of these were lost");
    }

    private static void disrupt(Deployment deployment, Server leaving, boolean trouble, Record record)
        throws Exception {
        Thread.sleep(CUT_FROM_MILLIS);
        if (trouble) {
            record.add("the daemon is cut off from the store");
            deployment.links.get(0).cut();
        }
        Thread.sleep(LEAVING_FROM_MILLIS - CUT_FROM_MILLIS);
        leaving.leaving = true;
        deployment.platform.put("keyed.servers", leaving.id, leaving.entry(Deployment.SERVICE, "draining"));
        record.add("the store has accepted that " + leaving.id + " is draining");
        Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        record.add(leaving.id + " exits");
        deployment.platform.put("keyed.servers", leaving.id, null);
        leaving.exit();
        Thread.sleep(CUT_FROM_MILLIS + CUT_MILLIS - LEAVING_FROM_MILLIS - DRAIN_MILLIS - LINGER_MILLIS);
        if (!trouble) return;
        deployment.links.get(0).heal();
        record.add("the daemon reaches the store again");
    }
}
