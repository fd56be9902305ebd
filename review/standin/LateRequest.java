import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A daemon gets SIGTERM and takes a request more than three seconds later, from a caller whose answer of the directory
 * still holds. The answer needs longer than the rest of the grace period.
 */
final class LateRequest {
    private static final long DIGEST_TOKENS = 300_000;
    private static final int EVENTS = 41;
    private static final int DAEMONS = 4;
    private static final int ROUNDS = 4;
    private static final double KEPT_SECONDS = 3.0;
    private static final double EXCUSED_SECONDS = 3.0;

    private LateRequest() {
    }

    public static void main(String[] arguments) throws Exception {
        Lab.play(arguments[0], DAEMONS, LateRequest::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 3; i++) {
            lab.servers.add(new Engine("i-engine" + (i + 1), "guide-llm", "akl-" + "abc".charAt(i)));
        }
        lab.start(Lab.configuration(Lab.promptRoutes("guide-llm"), List.of(Lab.engineService("guide-llm"))));
        Prompts prompts = new Prompts(28);
        int sent = 0;
        int lost = 0;
        for (int round = 0; round < ROUNDS && lost == 0; round++) {
            Daemon stopped = lab.daemons.get((2 + round) % DAEMONS);
            double stopAt = Record.seconds();
            if (Lab.TROUBLE) {
                stopped.terminate();
            }
            double namedAt = lastNamed(lab, stopped);
            double sendAt = namedAt + KEPT_SECONDS - 0.03;
            Record.line("the directory last named %s %.3f s after the stop; kept until %.3f s after it",
                stopped.name, namedAt - stopAt, namedAt - stopAt + KEPT_SECONDS);
            Thread.sleep(Math.max(0, (long) ((sendAt - Record.seconds()) * 1000)));
            Caller caller = prompts.survey(stopped.name, stopped.front(), DIGEST_TOKENS, EVENTS);
            caller.join(16_000);
            boolean isLate = caller.sentAt - stopAt > EXCUSED_SECONDS && caller.sentAt <= namedAt + KEPT_SECONDS;
            boolean isCut = caller.finished && !caller.left && !caller.complete
                && Server.ARRIVED.contains(caller.attempt);
            Record.line("request %s: sent %.3f s after the stop, %s, status %d, %d of %d events, ended %.2f s after "
                + "the stop", caller.attempt, caller.sentAt - stopAt, isCut ? "cut" : "not cut", caller.status,
                caller.events, EVENTS, caller.endedAt - stopAt);
            sent += isLate ? 1 : 0;
            lost += isLate && isCut ? 1 : 0;
            if (Lab.TROUBLE) {
                stopped.awaitExit(10_000);
                stopped.start();
                stopped.awaitReady();
                Thread.sleep(3_000);
            }
        }
        Record.line("LOST: %d of %d requests that were sent over 3 s after the stop and passed on were cut", lost, sent);
        if (sent == 0) {
            throw new IllegalStateException("no directory named the daemon for long enough");
        }
        return lost == 0 ? 0 : 1;
    }

    /** When the directories of the other daemons last named {@code stopped}, for half a second at most. */
    private static double lastNamed(Lab lab, Daemon stopped) throws Exception {
        double begin = Record.seconds();
        double named = begin;
        while (Record.seconds() < begin + 0.55) {
            for (Daemon daemon : lab.daemons) {
                double askedAt = Record.seconds();
                String answer = daemon == stopped ? null : daemon.resolve();
                if (answer != null && answer.contains("\"" + stopped.front() + "\"")) {
                    named = askedAt;
                }
            }
            Thread.sleep(5);
        }
        return named;
    }
}
