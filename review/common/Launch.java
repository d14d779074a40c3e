package review;

/**
 * Runs one case: the class, its folder, and 1 or 0 for with or without the disruption. The exit codes are none that the
 * Java runtime uses itself, so that a failure of the script is never taken for a broken rule.
 */
public final class Launch {
    /** A case; it ends with one of the methods of {@link Site} that end it. */
    public interface Case {
        void run(Site site) throws Exception;
    }

    static final int HELD = 10;
    static final int BROKEN = 11;
    static final int NOT_RUN = 12;

    private Launch() { }

    public static void main(String[] arguments) throws Exception {
        Site site = new Site(arguments[1], arguments[2].equals("1"));
        try {
            ((Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance()).run(site);
            site.notRun("the case has not ended");
        } catch (Exception | Error failure) {
            site.notRun("the script failed: " + failure);
        }
    }
}
