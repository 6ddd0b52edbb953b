package sycamorehill.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Entries of targets as another writer may leave them. Each character is one byte.
 */
final class OddEntries {

	private static final int MEGABYTE = 1024 * 1024;

	private static final Map<String, String> FIELDS = Map.of("service", "\"desk\"", "address", "\"10.0.0.9:80\"",
			"zone", "\"north\"", "version", "\"v1\"", "batch_slots", "12", "state", "\"ready\"", "warmup_left_ms", "0",
			"sequence", "4", "born", "1784172027169");

	private OddEntries() {
	}

	/**
	 * Returns the content of a sound entry.
	 * @param port the port of its address
	 * @return the content as JSON
	 */
	static String sound(int port) {
		return with("address", "\"10.0.0.9:" + port + "\"");
	}

	/**
	 * Returns the content of an entry of which one field differs from a sound one.
	 * @param field the field
	 * @param value its value as JSON; empty if the field is missing
	 * @return the content as JSON
	 */
	static String with(String field, String value) {
		Map<String, String> fields = new LinkedHashMap<>(FIELDS);
		fields.put(field, value);
		StringBuilder text = new StringBuilder();
		fields.forEach((name, content) -> {
			if (!content.isEmpty()) {
				text.append((text.length() == 0) ? "{" : ",").append('"').append(name).append("\":").append(content);
			}
		});
		return text.append('}').toString();
	}

	private static String nested(int levels, char open, char close) {
		return String.valueOf(open).repeat(levels) + String.valueOf(close).repeat(levels);
	}

	/**
	 * Returns contents that name no target to use.
	 * @return the contents as JSON
	 */
	static Stream<String> contents() {
		return Stream.concat(Stream.concat(unreadable(), wrongAddresses()), wrongNumbers());
	}

	private static Stream<String> unreadable() {
		return Stream.of(with("version", nested(1_000, '[', ']')), with("version", nested(100_000, '[', ']')),
				with("extra", "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000)),
				with("version", "\"\u00ff\u00fe\""), with("extra", "\"\u00c3\""), with("version", "\"a\u0001b\""),
				with("version", "\"a\\x\""), with("version", "NaN"), with("version", "nul"), with("version", "01"),
				with("version", "[1,]"), with("extra", "[}{]"), with("extra", "9".repeat(MEGABYTE)), "7", "null", "[]",
				"\"text\"", "{}", with("version", "[]"), with("version", "{}"), with("state", "\"paused\""),
				with("state", "\"\""), with("state", "1"), with("service", ""), with("service", "\"a\\nSYC-1001\""),
				with("service", "{}"), with("service", '"' + "s".repeat(MEGABYTE) + '"'), with("zone", "null"),
				with("zone", "\"a\\u2028b\""), with("domain", '"' + "d".repeat(MEGABYTE) + '"'), with("domain", "7"),
				with("staged", "\"m\""), with("staged", "[7]"),
				with("staged", '[' + "\"m\",".repeat(MEGABYTE / 8) + "\"m\"]"), with("models", "\"m\""),
				with("models", "[{\"name\":\"" + "m".repeat(MEGABYTE) + "\"}]"));
	}

	private static Stream<String> wrongAddresses() {
		return Stream
			.of("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999", "10.0.0.1", ":80", "10.0.0.1:",
					" :80", "engine.invalid:80", "localhost:80", "10.0.0.256:80", "10.0.0:80", "10.0.0.1 :80",
					"10.0.0.1:8 0", "10.0.0.1\\n:80", "")
			.map((address) -> with("address", '"' + address + '"'));
	}

	private static Stream<String> wrongNumbers() {
		String huge = "1" + "0".repeat(400);
		Stream<String> counts = Stream.of("batch_slots", "born", "sequence", "warmup_left_ms")
			.flatMap((field) -> Stream
				.of("1e999", "-1e999", huge, "9223372036854775808", "9007199254740993", "true", "\"12\"", "{}", "[12]")
				.map((value) -> with(field, value)));
		Stream<String> slots = Stream.of("0", "-1", "4294967297", "2147483648", "1.5", "null", "")
			.map((value) -> with("batch_slots", value));
		Stream<String> groups = List.of("epoch", "rank")
			.stream()
			.flatMap((field) -> Stream.of("1e999", huge, "-1", "4.5", "4294967296000000000", "\"1\"")
				.map((value) -> with("group", "{\"name\":\"m.7\",\"epoch\":7,\"rank\":1,\"state\":\"ready\",\"" + field
						+ "\":" + value + '}')));
		return Stream.of(counts, slots, groups, Stream.of(with("born", "-1"), with("sequence", "-1")))
			.flatMap((each) -> each);
	}

}
