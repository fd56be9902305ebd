import java.util.Random;

/** Draws the prompts of the smaller site's sheet: arrivals, sizes and time limits of its three kinds. */
final class Prompts {
    private static final int TOKENS_OF_EVENT = 51;
    private final Random random;
    private int number;

    Prompts(long seed) {
        random = new Random(seed);
    }

    /** The seconds until the next arrival at {@code perSecond}. */
    double pause(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    /** Starts a visitor-brief. */
    Caller brief(String daemon, String address) {
        return send("brief", daemon, address, size(4_960, 0.9, 23_800), size(32.9, 0.7, 82.3), 10_000, 2_400);
    }

    /** Starts a vessel-dossier. */
    Caller dossier(String daemon, String address) {
        return send("dossier", daemon, address, size(45_000, 0.5, 110_000), size(19.7, 0.6, 49.4), 10_000, 6_000);
    }

    /** Starts a survey-digest. */
    Caller survey(String daemon, String address) {
        return send("survey", daemon, address, size(154_000, 0.55, 700_000), size(16.5, 0.5, 41.1), 15_000, 12_000);
    }

    /** Starts a survey-digest of {@code tokens}, the sheet's largest is 700,000. */
    Caller survey(String daemon, String address, long tokens, int events) {
        return send("survey", daemon, address, tokens, events, 15_000, 12_000);
    }

    private Caller send(String kind, String daemon, String address, double tokens, double events, int deadline,
        int patience) {
        number += 1;
        long answer = Math.max(1, Math.round(events)) * TOKENS_OF_EVENT;
        String head = Caller.prompt(kind, number, Math.round(tokens), answer, deadline);
        Caller caller = new Caller(daemon);
        caller.expectedEvents = (int) (answer / TOKENS_OF_EVENT);
        return caller.send(address, head, new byte[(int) (tokens / 4)], patience);
    }

    /** A size of a log-normal distribution with {@code mean}. */
    private double size(double mean, double spread, double most) {
        return Math.min(most, mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2));
    }
}
