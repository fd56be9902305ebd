import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The only server of a plain service is down for a while and comes back cold. */
final class ColdReturn {
    private static final int DAEMONS = 7;
    private static final double CALLS_PER_SECOND = 140;
    private static final double COLD_PER_SECOND = 26;
    private static final double BOUND = COLD_PER_SECOND * 1.5 + 5;
    private static final long COLD_MILLIS = 3_000;
    private static final double DOWN_SECONDS = 4.5;

    private ColdReturn() {
    }

    public static void main(String[] arguments) throws Exception {
        Lab.play(arguments[0], DAEMONS, ColdReturn::run);
    }

    private static int run(Lab lab) throws Exception {
        Map<String, Double> sent = new ConcurrentHashMap<>();
        List<double[]> arrivals = new CopyOnWriteArrayList<>();
        Server first = server("i-first", false, sent, new CopyOnWriteArrayList<>());
        first.register(lab.store, "ready", 0);
        lab.start(Lab.configuration(
            List.of("{\"name\":\"book-tour\",\"host\":\"tour.example\",\"path_prefix\":\"/book/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":1500,\"target_latency_ms\":121,\"priority\":2,\"service\":\"bookings\","
                + "\"max_attempts\":1,\"public\":false}"),
            List.of("{\"name\":\"bookings\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":" + COLD_PER_SECOND + "}")));
        double begin = Record.seconds();
        double downAt = begin + 2;
        double backAt = downAt + DOWN_SECONDS;
        boolean isDown = false;
        Server second = null;
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; Record.seconds() < backAt + COLD_MILLIS / 1000.0 + 0.5; i++) {
            if (Lab.TROUBLE && !isDown && Record.seconds() > downAt) {
                isDown = true;
                Record.line("%s: ends", first.id);
                first.close();
                lab.store.put("keyed.servers", first.id, "");
            }
            if (Lab.TROUBLE && second == null && Record.seconds() > backAt) {
                second = server("i-second", true, sent, arrivals);
                second.register(lab.store, "ready", COLD_MILLIS);
                Record.line("%s: has started, cold for 3 s", second.id);
                lab.servers.add(second);
            }
            Daemon daemon = lab.daemons.get(i % DAEMONS);
            Caller caller = new Caller(daemon.name);
            sent.put(caller.attempt, Record.seconds());
            callers.add(caller);
            caller.send(daemon.front(), "POST /book/" + i + " HTTP/1.1\r\nHost: tour.example\r\nX-Deadline-Ms: 1500\r\n",
                new byte[600], 1_600);
            Thread.sleep(Math.max(0, (long) ((begin + (i + 1) / CALLS_PER_SECOND - Record.seconds()) * 1000)));
        }
        for (Caller caller : callers) {
            caller.join(3_000);
        }
        long answered = callers.stream().filter(caller -> caller.status == 200 && caller.complete).count();
        Record.line("bookings sent: %d, answered: %d", callers.size(), answered);
        if (answered == 0 || !Lab.TROUBLE && answered < callers.size() * 0.95) {
            throw new IllegalStateException("the system did not serve; the check would say nothing");
        }
        long unknown = callers.stream().filter(caller -> caller.status == 502).count();
        Record.line("bookings whose outcome is unknown (502): %d", unknown);
        return judge(arrivals, backAt);
    }

    private static Server server(String id, boolean isCold, Map<String, Double> sent, List<double[]> arrivals)
        throws Exception {
        Set<Socket> open = ConcurrentHashMap.newKeySet();
        return new Server(id, "bookings", "akl-a", 6) {
            /** A cold server crashes beyond the bound, with all that it runs. */
            private synchronized void crash(Set<Socket> open) throws Exception {
                Record.line("%s: crashes with %d bookings that it runs", id, open.size());
                close();
                for (Socket socket : open) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                open.clear();
            }

            @Override
            void run(Message request, Socket socket) throws Exception {
                arrivals.add(new double[] {sent.get(request.header("x-attempt-id")), Record.seconds()});
                open.add(socket);
                if (isCold && most(arrivals, Double.MAX_VALUE) > BOUND) {
                    crash(open);
                }
                Thread.sleep(21);
                open.remove(socket);
                send(socket, "HTTP/1.1 200 OK\r\n" + signed(request) + "Content-Length: 2\r\n\r\nok");
            }
        };
    }

    private static long most(List<double[]> arrivals, double warmAt) {
        long most = 0;
        for (double[] first : arrivals) {
            double until = Math.min(first[0] + 1, warmAt);
            most = Math.max(most, arrivals.stream().filter(one -> one[0] >= first[0] && one[1] < until).count());
        }
        return most;
    }

    /** Counts the requests that were sent and arrived within the same second of the cold time. */
    private static int judge(List<double[]> arrivals, double backAt) {
        long most = most(arrivals, backAt + COLD_MILLIS / 1000.0);
        Record.line("FAILBACK: %d requests reached the cold server in one second, %.0f are allowed", most, BOUND);
        return most > BOUND ? 1 : 0;
    }
}
