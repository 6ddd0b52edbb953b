package sycamorehill.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a node's log, split into its parts.
 *
 * @param timestamp when the node wrote the line, by its wall clock
 * @param node name of the node that wrote the line
 * @param event name of the log event, such as {@code REQUEST_SERVED}
 * @param detail the rest of the line: fields and free text
 */
record ParsedLogLine(Instant timestamp, String node, String event, String detail) {

	/**
	 * Matches a log line with an optional prefix. Log collectors may add a prefix of any
	 * form; its last word is taken as the node's name.
	 */
	private static final Pattern LINE_PATTERN = Pattern
		.compile("^(?<before>.*?)(?<at>\\d{4}-\\d\\d-\\d\\dT\\S+Z) \\w+ SYC-\\d+ (?<event>\\w+) ?(?<detail>.*)$");

	/**
	 * Parses a line of a log.
	 * @param text the line
	 * @param file name of the log file, used as the node's name if the line has no prefix
	 * @return the parsed line; empty if the text is not a log line, such as a line of a
	 * stack trace
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
	 * Returns the value of a {@code key=value} field.
	 * @param name the field's key
	 * @return the value without quotes; empty if the line has no such field
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
