import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** An engine is killed while it answers a resumable stream without a length, between two events. */
final class UnframedCrash {
    private static final double BRIEFS_PER_SECOND = 12.0;
    private static final int ONE_IN = 20;
    private static final int ENGINES = 6;
    private static final double LONGEST_SECONDS = 60;

    private UnframedCrash() {
    }

    public static void main(String[] arguments) throws Exception {
        Lab.play(arguments[0], 3, UnframedCrash::run);
    }

    private static int run(Lab lab) throws Exception {
        for (int i = 1; i < ENGINES; i++) {
            lab.servers.add(new Engine("i-engine" + i, "guide-llm", "akl-" + "abc".charAt(i % 3)));
        }
        EngineProcess victim = new EngineProcess("i-engine0", "guide-llm", "akl-a", ONE_IN);
        victim.register(lab.store);
        lab.start(Lab.configuration(Lab.promptRoutes("guide-llm"), List.of(Lab.engineService("guide-llm"))));
        AtomicBoolean isKilled = new AtomicBoolean();
        Server.background(() -> killBetweenEvents(victim, isKilled));
        Prompts prompts = new Prompts(28);
        List<Caller> callers = new ArrayList<>();
        double begin = Record.seconds();
        double killedAt = 0;
        while (Record.seconds() < begin + LONGEST_SECONDS && (killedAt == 0 || Record.seconds() < killedAt + 3)) {
            Daemon daemon = lab.daemons.get(callers.size() % lab.daemons.size());
            callers.add(prompts.brief(daemon.name, daemon.front()));
            Thread.sleep((long) (prompts.pause(BRIEFS_PER_SECOND) * 1000));
            if (killedAt == 0 && isKilled.get()) {
                killedAt = Record.seconds();
            }
        }
        for (Caller caller : callers) {
            caller.join(10_000);
        }
        if (killedAt == 0) {
            throw new IllegalStateException("the engine got too few requests");
        }
        int broken = 0;
        for (Caller caller : callers) {
            boolean isShort = caller.complete && caller.status == 200
                && (caller.events != caller.expectedEvents || !caller.isInOrder);
            if (isShort) {
                Record.line("request %s: ended as complete with %d of %d events", caller.attempt, caller.events,
                    caller.expectedEvents);
                broken += 1;
            }
        }
        Record.line("ORDER: %d of %d streams ended as complete before their last event", broken, callers.size());
        return broken == 0 ? 0 : 1;
    }

    /** Kills the engine amid the first answer without a length that is long enough; TROUBLE=0 lets it finish. */
    private static void killBetweenEvents(EngineProcess victim, AtomicBoolean isKilled) {
        try {
            for (String line = victim.nextLine(); line != null && !isKilled.get(); line = victim.nextLine()) {
                String[] words = line.split(" ");
                if (words[0].equals("event") && Integer.parseInt(words[2]) >= 5
                    && Integer.parseInt(words[2]) <= Integer.parseInt(words[4]) - 5) {
                    Record.line("%s: is at event %s of %s of %s", victim.id, words[2], words[4], words[1]);
                    if (Lab.TROUBLE) {
                        victim.kill();
                    }
                    isKilled.set(true);
                }
            }
        } catch (Exception exception) {
            Record.line("%s: %s", victim.id, exception);
        }
    }
}
