/** Runs an action on a daemon thread; a connection that ends is no error. */
final class Task {
    interface Action {
        void run() throws Exception;
    }

    private Task() {
    }

    static Thread start(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (java.io.IOException | InterruptedException ended) {
                return;
            } catch (Exception unexpected) {
                unexpected.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
