package sycamorehill.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * What the logs tell of one request: its own lines, what happened to the targets that it
 * was given to, and what its node knew of the store, the configuration and the groups.
 */
public final class RequestStory {

	private static final Set<String> OUTCOMES = Set.of("REQUEST_SERVED", "REQUEST_REFUSED", "REQUEST_FAILED");

	private static final Set<String> TARGET_EVENTS = Set.of("TARGET_SILENT", "TARGET_CHANGED", "GROUP_CHANGED",
			"ENGINE_ORDER");

	/**
	 * Events of targets are looked for this long around a request: an entry of a target
	 * that died lapses after 3.6 s.
	 */
	private static final Duration AROUND = Duration.ofSeconds(5);

	private final List<LoggedLine> lines;

	private final String request;

	private RequestStory(List<LoggedLine> lines, String request) {
		this.lines = lines;
		this.request = request;
	}

	/**
	 * Finds a request.
	 * @param texts lines of all logs, each behind the name of its file
	 * @param request the caller's identifier of the attempt
	 * @return the story; empty if no line names the request
	 */
	public static Optional<RequestStory> find(List<SourceLine> texts, String request) {
		List<LoggedLine> lines = texts.stream()
			.flatMap((source) -> LoggedLine.read(source.text(), source.file()).stream())
			.sorted(Comparator.comparing(LoggedLine::at))
			.toList();
		RequestStory story = new RequestStory(lines, request);
		return story.own().isEmpty() ? Optional.empty() : Optional.of(story);
	}

	private List<LoggedLine> own() {
		return this.lines.stream()
			.filter((line) -> line.field("request").filter(this.request::equals).isPresent())
			.toList();
	}

	/**
	 * Tells the story.
	 * @return its lines
	 */
	public List<String> tell() {
		List<LoggedLine> own = own();
		List<String> told = new ArrayList<>();
		Instant begin = began(own.get(0));
		told.add("request " + this.request + " came to " + own.get(0).node() + " at " + begin);
		section(told, "the request itself", own);
		section(told, "the targets that it was given to", ofTargets(own));
		section(told, "what its node knew then", known(own.get(own.size() - 1)));
		told.add("cause: " + cause(own));
		return told;
	}

	private static Instant began(LoggedLine line) {
		return line.field("millis").map(Long::parseLong).map(line.at()::minusMillis).orElse(line.at());
	}

	private static void section(List<String> told, String title, List<LoggedLine> lines) {
		if (lines.isEmpty()) {
			return;
		}
		told.add(title + ":");
		lines.forEach(
				(line) -> told.add("  " + line.at() + " " + line.node() + " " + line.event() + " " + line.detail()));
	}

	private List<LoggedLine> ofTargets(List<LoggedLine> own) {
		Set<String> targets = new TreeSet<>();
		for (LoggedLine line : own) {
			line.field("from").ifPresent(targets::add);
			line.field("target").ifPresent(targets::add);
		}
		Instant from = began(own.get(0)).minus(AROUND);
		Instant to = own.get(own.size() - 1).at().plus(AROUND);
		return this.lines.stream()
			.filter((line) -> TARGET_EVENTS.contains(line.event()) && targets.stream().anyMatch(line::names))
			.filter((line) -> !line.at().isBefore(from) && !line.at().isAfter(to))
			.toList();
	}

	private List<LoggedLine> known(LoggedLine end) {
		List<LoggedLine> known = new ArrayList<>();
		last(end, (line) -> line.event().equals("GROUP_SUMMARY") && line.field("service").equals(end.field("service"))
				&& end.field("service").isPresent())
			.ifPresent(known::add);
		Predicate<LoggedLine> sameNode = (line) -> line.node().equals(end.node());
		last(end, sameNode.and((line) -> line.event().equals("STORE_CONTACT"))).ifPresent(known::add);
		last(end, sameNode.and((line) -> line.event().equals("CONFIGURATION_IN_FORCE"))).ifPresent(known::add);
		return known;
	}

	private Optional<LoggedLine> last(LoggedLine end, Predicate<LoggedLine> wanted) {
		return this.lines.stream()
			.filter((line) -> !line.at().isAfter(end.at()))
			.filter(wanted)
			.reduce((earlier, later) -> later);
	}

	private static String cause(List<LoggedLine> own) {
		LoggedLine end = own.stream()
			.filter((line) -> OUTCOMES.contains(line.event()))
			.reduce((earlier, later) -> later)
			.orElse(null);
		if (end == null) {
			return "no final line: the node ended before the answer, or its log is missing";
		}
		String cause = end.field("cause").orElse("");
		if (end.event().equals("REQUEST_REFUSED")) {
			return "refused, not run: " + cause;
		}
		if (end.event().equals("REQUEST_FAILED")) {
			return "failed (" + end.field("outcome").orElse("the caller left") + "): " + cause;
		}
		String again = own.stream()
			.filter((line) -> line.event().equals("REQUEST_SENT_AGAIN"))
			.map((line) -> ", after " + line.field("cause").orElse("?") + " at " + line.field("from").orElse("?"))
			.reduce("", String::concat);
		return "served with status " + end.field("status").orElse("?") + " by " + end.field("target").orElse("?")
				+ again;
	}

	/**
	 * A line of a log as it stands in a file.
	 *
	 * @param file the file's name without folder and ending, taken for the node's name
	 * @param text the line
	 */
	public record SourceLine(String file, String text) {
	}

}
