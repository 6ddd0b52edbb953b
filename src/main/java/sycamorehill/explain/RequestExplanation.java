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
 * Explains the outcome of one request from the logs of several nodes. It combines the log
 * lines of the request, events of the targets that the request was sent to, and the last
 * known state of the store, the configuration and the serving groups.
 */
public final class RequestExplanation {

	private static final Set<String> OUTCOME_EVENTS = Set.of("REQUEST_SERVED", "REQUEST_REFUSED", "REQUEST_FAILED");

	private static final Set<String> TARGET_EVENTS = Set.of("TARGET_SILENT", "TARGET_CHANGED", "GROUP_CHANGED",
			"ENGINE_ORDER");

	private static final Set<String> PATH_EVENTS = Set.of("SERVICE_UNREACHABLE", "SERVICE_REACHABLE");

	/**
	 * Time before the start and after the last log line of a request in which target
	 * events are included. It exceeds the 3.6 s after which the entry of a crashed target
	 * expires.
	 */
	private static final Duration TARGET_EVENT_MARGIN = Duration.ofSeconds(5);

	private final List<ParsedLogLine> lines;

	private final String request;

	private RequestExplanation(List<ParsedLogLine> lines, String request) {
		this.lines = lines;
		this.request = request;
	}

	/**
	 * Finds the log lines of a request.
	 * @param sourceLines lines of all logs
	 * @param request the caller's identifier of the attempt
	 * @return the explanation; empty if no line has a request field with this identifier
	 */
	public static Optional<RequestExplanation> find(List<SourceLine> sourceLines, String request) {
		List<ParsedLogLine> lines = sourceLines.stream()
			.flatMap((source) -> ParsedLogLine.parse(source.text(), source.file()).stream())
			.sorted(Comparator.comparing(ParsedLogLine::timestamp))
			.toList();
		RequestExplanation explanation = new RequestExplanation(lines, request);
		return explanation.requestLines().isEmpty() ? Optional.empty() : Optional.of(explanation);
	}

	private List<ParsedLogLine> requestLines() {
		return this.lines.stream()
			.filter((line) -> line.field("request").filter(this.request::equals).isPresent())
			.toList();
	}

	/**
	 * Formats the explanation for operators.
	 * @return the lines to print
	 */
	public List<String> format() {
		List<ParsedLogLine> requestLines = requestLines();
		List<String> output = new ArrayList<>();
		Instant start = startTime(requestLines.get(0));
		output.add("request " + this.request + " came to " + requestLines.get(0).node() + " at " + start);
		appendSection(output, "the request itself", requestLines);
		appendSection(output, "the targets that it was given to", targetLines(requestLines));
		appendSection(output, "what its node knew then", contextLines(requestLines.get(requestLines.size() - 1)));
		output.add("cause: " + cause(requestLines));
		return output;
	}

	private static Instant startTime(ParsedLogLine line) {
		return line.field("millis").map(Long::parseLong).map(line.timestamp()::minusMillis).orElse(line.timestamp());
	}

	private static void appendSection(List<String> output, String title, List<ParsedLogLine> lines) {
		if (lines.isEmpty()) {
			return;
		}
		output.add(title + ":");
		lines.forEach((line) -> output
			.add("  " + line.timestamp() + " " + line.node() + " " + line.event() + " " + line.detail()));
	}

	private List<ParsedLogLine> targetLines(List<ParsedLogLine> requestLines) {
		Set<String> targets = new TreeSet<>();
		for (ParsedLogLine line : requestLines) {
			line.field("from").ifPresent(targets::add);
			line.field("target").ifPresent(targets::add);
		}
		Instant windowStart = startTime(requestLines.get(0)).minus(TARGET_EVENT_MARGIN);
		Instant windowEnd = requestLines.get(requestLines.size() - 1).timestamp().plus(TARGET_EVENT_MARGIN);
		return this.lines.stream()
			.filter((line) -> TARGET_EVENTS.contains(line.event()) && targets.stream().anyMatch(line::mentions))
			.filter((line) -> !line.timestamp().isBefore(windowStart) && !line.timestamp().isAfter(windowEnd))
			.toList();
	}

	private List<ParsedLogLine> contextLines(ParsedLogLine finalLine) {
		List<ParsedLogLine> contextLines = new ArrayList<>();
		lastUntil(finalLine, (line) -> line.event().equals("GROUP_SUMMARY")
				&& line.field("service").equals(finalLine.field("service")) && finalLine.field("service").isPresent())
			.ifPresent(contextLines::add);
		Predicate<ParsedLogLine> sameNode = (line) -> line.node().equals(finalLine.node());
		lastUntil(finalLine, sameNode.and((line) -> line.event().equals("STORE_CONTACT"))).ifPresent(contextLines::add);
		lastUntil(finalLine, sameNode.and((line) -> line.event().equals("CONFIGURATION_IN_FORCE")))
			.ifPresent(contextLines::add);
		lastUntil(finalLine, sameNode.and((line) -> line.event().equals("RETRY_SHARE_CHANGED")))
			.ifPresent(contextLines::add);
		lastUntil(finalLine, sameNode.and((line) -> PATH_EVENTS.contains(line.event())
				&& line.field("service").equals(finalLine.field("service"))))
			.ifPresent(contextLines::add);
		return contextLines;
	}

	private Optional<ParsedLogLine> lastUntil(ParsedLogLine finalLine, Predicate<ParsedLogLine> filter) {
		return this.lines.stream()
			.filter((line) -> !line.timestamp().isAfter(finalLine.timestamp()))
			.filter(filter)
			.reduce((earlier, later) -> later);
	}

	private static String cause(List<ParsedLogLine> requestLines) {
		ParsedLogLine finalLine = requestLines.stream()
			.filter((line) -> OUTCOME_EVENTS.contains(line.event()))
			.reduce((earlier, later) -> later)
			.orElse(null);
		if (finalLine == null) {
			return "no final line: the node ended before the answer, or its log is missing";
		}
		String cause = finalLine.field("cause").orElse("");
		if (finalLine.event().equals("REQUEST_REFUSED")) {
			return "refused, not run: " + cause;
		}
		if (finalLine.event().equals("REQUEST_FAILED")) {
			return "failed (" + finalLine.field("outcome").orElse("the caller left") + "): " + cause;
		}
		String retries = requestLines.stream()
			.filter((line) -> line.event().equals("REQUEST_SENT_AGAIN"))
			.map((line) -> ", after " + line.field("cause").orElse("?") + " at " + line.field("from").orElse("?"))
			.reduce("", String::concat);
		return "served with status " + finalLine.field("status").orElse("?") + " by "
				+ finalLine.field("target").orElse("?")
				+ finalLine.field("node").map((node) -> " through " + node).orElse("") + retries;
	}

	/**
	 * A line of a log file, not yet parsed.
	 *
	 * @param file name of the file without directory and extension, used as the node's
	 * name if the line has no prefix
	 * @param text text of the line
	 */
	public record SourceLine(String file, String text) {
	}

}
