import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Bookings through seven daemons, of which the one that read the list of servers last is cut off from the store while a
 * server leaves without a report: its entry is removed, it serves for drain_ms and a little longer, then it exits. The
 * rule is broken if it gets a booking later than drain_ms after the removal from a daemon that is not cut off.
 */
final class UnreportedLeave {
    private static final int DAEMONS = 7;
    private static final int ROUNDS = 8;
    private static final int WORK_MILLIS = 100;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int LINGER_MILLIS = 1_500;
    private static final int CUT_MILLIS = 5_000;
    private static final int REMOVED_AFTER_MILLIS = 100;
    private static final int PAUSE_MILLIS = 5_500;
    private static final int GAP_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 1_500;

    /** Rounds in which the machine held up this process for longer are not judged. */
    private static final int MAXIMUM_HOLD_UP_MILLIS = 200;

    /** A server that left: when its entry was removed, the daemon that was cut off then, and the longest hold-up. */
    private record Leave(String server, long removedNanos, String cutHost, long heldUpMillis) {
    }

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
        Deployment deployment = new Deployment(top, DAEMONS, WORK_MILLIS, record);
        List<Leave> leaves = Collections.synchronizedList(new ArrayList<>());
        Thread disruptions = Task.start("disruptions", () -> {
            for (int round = 0; round < ROUNDS; round++) leaves.add(leave(deployment, round, trouble, record));
        });
        List<Object[]> results = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; disruptions.isAlive(); i++) {
            String attempt = String.format("%016x", 0x9c41d07be2000000L + i);
            Entry entry = deployment.entries.get(i % DAEMONS);
            callers.add(Task.start("caller", () ->
                results.add(new Object[] {entry.host, Caller.book(entry, attempt, DEADLINE_MILLIS, record)})));
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread caller : callers) caller.join(2L * DEADLINE_MILLIS);
        int late = 0;
        int lost = 0;
        for (Object[] each : new ArrayList<>(results)) {
            Caller.Result result = (Caller.Result) each[1];
            for (Record.Arrival arrival : record.arrivalsOf(result.attempt())) {
                for (Leave leave : new ArrayList<>(leaves)) {
                    long millis = (arrival.nanos() - leave.removedNanos()) / 1_000_000;
                    boolean isLate = arrival.server().equals(leave.server()) && millis > DRAIN_MILLIS;
                    boolean isJudged = leave.heldUpMillis() <= MAXIMUM_HOLD_UP_MILLIS;
                    if (!isLate || !isJudged || each[0].equals(leave.cutHost())) continue;
                    late += 1;
                    if (result.status() != 200) lost += 1;
                    record.add("DRAIN: " + result.attempt() + " reached " + leave.server() + " through " + each[0] + " "
                        + millis + " ms after the removal of its entry, and the caller got " + result.status());
                }
            }
        }
        return record.verdict(late > 0, results.size() + " bookings sent, " + leaves.size() + " servers left, " + late
            + " bookings reached one too late from daemons that were not cut off, " + lost + " of these were lost");
    }

    /** One server leaves and another one comes; the daemon that reads for all is cut off meanwhile. */
    private static Leave leave(Deployment deployment, int round, boolean trouble, Record record) throws Exception {
        Server next = new Server("i-" + (round + 4) + "f3a91c2", "akl-a", WORK_MILLIS, record);
        deployment.platform.put("keyed.servers", next.id, next.entry(Deployment.SERVICE, "ready"));
        deployment.servers.add(next);
        Thread.sleep(PAUSE_MILLIS);
        HoldUp holdUp = new HoldUp();
        int reader = deployment.links.indexOf(Collections.max(deployment.links,
            Comparator.comparingLong(Platform.Link::serversReadNanos)));
        String host = deployment.entries.get(reader).host;
        if (trouble) {
            record.add(host + " is cut off from the store");
            deployment.links.get(reader).cut();
        }
        Thread.sleep(REMOVED_AFTER_MILLIS);
        Server leaving = deployment.servers.remove(0);
        long removedNanos = deployment.platform.put("keyed.servers", leaving.id, null);
        record.add("the entry of " + leaving.id + " is removed");
        Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        record.add(leaving.id + " exits");
        leaving.exit();
        Thread.sleep(CUT_MILLIS - REMOVED_AFTER_MILLIS - DRAIN_MILLIS - LINGER_MILLIS);
        if (trouble) {
            deployment.links.get(reader).heal();
            record.add(host + " reaches the store again");
        }
        long heldUpMillis = holdUp.end();
        record.add("this process was held up for " + heldUpMillis + " ms at most in this round");
        return new Leave(leaving.id, removedNanos, trouble ? host : "none", heldUpMillis);
    }
}
