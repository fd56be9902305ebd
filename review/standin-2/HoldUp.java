/** Measures how long the machine keeps this process from running. */
final class HoldUp {
    private static final int STEP_MILLIS = 10;
    private volatile boolean ended;
    private volatile long longestMillis;

    HoldUp() {
        Task.start("hold-up", () -> {
            while (!ended) {
                long nanos = System.nanoTime();
                Thread.sleep(STEP_MILLIS);
                longestMillis = Math.max(longestMillis, (System.nanoTime() - nanos) / 1_000_000 - STEP_MILLIS);
            }
        });
    }

    /** Ends the measurement and returns the longest hold-up. */
    long end() {
        ended = true;
        return longestMillis;
    }
}
