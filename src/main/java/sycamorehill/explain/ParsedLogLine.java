package sycamorehill.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a node's log.
 *
 * @param timestamp when it was written, by the node's wall clock
 * @param node the node that wrote it
 * @param event name of the numbered event
 * @param detail what it is about
 */
record ParsedLogLine(Instant timestamp, String node, String event, String detail) {

	/**
	 * Collectors of logs put what they like in front of a line, the node's name at the
	 * end of it.
	 */
	private static final Pattern LINE_PATTERN = Pattern
		.compile("^(?<before>.*?)(?<at>\\d{4}-\\d\\d-\\d\\dT\\S+Z) \\w+ SYC-\\d+ (?<event>\\w+) ?(?<detail>.*)$");

	/**
	 * Reads a line.
	 * @param text the line
	 * @param file the name of the file that holds it, which names the node if the line
	 * does not
	 * @return the line; empty for text that is no line of a log, such as a stack trace
	 */
	static Optional<ParsedLogLine> parse(String text, String file) {
		Matcher matcher = LINE_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		try {
			String prefix = matcher.group("before").trim();
			String node = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
			return Optional.of(new ParsedLogLine(Instant.parse(matcher.group("at")), node, matcher.group("event"),
					matcher.group("detail")));
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	/**
	 * A field of the line.
	 * @param name the field's name
	 * @return its value without quotes; empty if the line has no such field
	 */
	Optional<String> field(String name) {
		Matcher matcher = Pattern.compile("(?:^| )" + Pattern.quote(name) + "=(?:'([^']*)'|(\\S+))")
			.matcher(this.detail);
		if (!matcher.find()) {
			return Optional.empty();
		}
		return Optional.ofNullable((matcher.group(1) != null) ? matcher.group(1) : matcher.group(2));
	}

	boolean mentions(String text) {
		return this.detail.contains(text);
	}

}
