import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A daemon gets SIGTERM while all engines read one very long document. Callers that keep an answer of the directory
 * three times as long as it says go on to use the daemon, which reads their requests and lets them wait for engines.
 */
final class StopWithQueue {
    private static final long DOCUMENT_TOKENS = 560_000;
    private static final long DIGEST_TOKENS = 154_000;
    private static final int EVENTS = 16;
    private static final double[] LATE_SECONDS = {1.9, 2.3, 2.7};
    private static final double LOSS_SLACK_SECONDS = 0.2;
    private static final double KEPT_SECONDS = 3.0;

    private StopWithQueue() {
    }

    public static void main(String[] arguments) throws Exception {
        Lab.play(arguments[0], 3, StopWithQueue::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 0; i < 3; i++) {
            lab.servers.add(new Engine("i-engine" + (i + 1), "guide-llm", "akl-" + "abc".charAt(i)));
        }
        lab.start(Lab.configuration(Lab.promptRoutes("guide-llm"), List.of(Lab.engineService("guide-llm"))));
        Daemon first = lab.daemons.get(0);
        Daemon stopped = lab.daemons.get(2);
        Prompts prompts = new Prompts(28);
        Caller document = prompts.survey(first.name, first.front(), DOCUMENT_TOKENS, EVENTS);
        Thread.sleep(900);
        String answer = stopped.resolve();
        double keptUntil = Record.seconds() + KEPT_SECONDS;
        Record.line("directory: %s; these callers keep it for 3 s", answer);
        if (answer == null || !answer.contains(stopped.front())) {
            throw new IllegalStateException("the directory doesn't name the daemon");
        }
        double stopAt = Record.seconds();
        if (Lab.TROUBLE) {
            stopped.terminate();
        }
        List<Caller> late = new ArrayList<>();
        for (double seconds : LATE_SECONDS) {
            Thread.sleep(Math.max(0, (long) ((stopAt + seconds - Record.seconds()) * 1000)));
            if (Record.seconds() > keptUntil) {
                throw new IllegalStateException("too late; this machine is too busy");
            }
            late.add(prompts.survey(stopped.name, stopped.front(), DIGEST_TOKENS, EVENTS));
        }
        for (Caller caller : late) {
            caller.join(15_000);
        }
        document.join(15_000);
        return judge(late, stopAt);
    }

    private static int judge(List<Caller> late, double stopAt) {
        int lost = 0;
        for (Caller caller : late) {
            boolean isCut = caller.finished && !caller.left && caller.status == 0
                && caller.endedAt - caller.sentAt > LOSS_SLACK_SECONDS;
            boolean hasReachedServer = Server.ARRIVED.contains(caller.attempt);
            Record.line("request %s: sent %.2f s after the stop, %s, %s after %.2f s", caller.attempt,
                caller.sentAt - stopAt, hasReachedServer ? "passed on to a server" : "passed on to no server",
                isCut ? "closed with no answer" : "status " + caller.status, caller.endedAt - caller.sentAt);
            lost += isCut && !hasReachedServer ? 1 : 0;
        }
        Record.line("LOST: %d of %d requests were read, and their channel closed with no answer", lost, late.size());
        return lost == 0 ? 0 : 1;
    }
}
