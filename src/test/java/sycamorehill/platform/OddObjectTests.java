package sycamorehill.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import sycamorehill.entry.Feed;
import sycamorehill.json.BoundedJson;
import sycamorehill.json.JsonText;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests reading kinds of objects among which another writer left an odd one.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OddObjectTests {

	private static final Duration NO_WAIT = Duration.ZERO;

	private static final List<String> ODD_NAMES = List.of("7", "null", "\"\"", "\" \"", "{}", "[[]]",
			"\"a\\nSYC-1001\"", "\"a\\r\\nHost: b\"", "\"a b\"", "\"\u00c3\u00bc\"", "\"\u00ff\"", "NaN",
			'"' + "n".repeat(1024 * 1024) + '"', "[".repeat(100_000) + "]".repeat(100_000));

	private static final List<String> ODD_OBJECTS = List.of("7", "null", "[]", "{}", "\"text\"", "NaN",
			"{\"metadata\":[]}", "{\"metadata\":{}}", "[".repeat(100_000) + "]".repeat(100_000), "{\"spec\":1 2}",
			"\u00ff");

	private static String object(String name, String spec) {
		return "{\"metadata\":{\"name\":" + name + ",\"rev\":3},\"spec\":" + spec + ",\"status\":null}";
	}

	private static String list(String... items) {
		return "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"at\":9}";
	}

	private static String events(String... objects) {
		return "{\"events\":[" + Stream.of(objects)
			.map((object) -> "{\"object\":" + object + ",\"deleted\":false}")
			.collect(Collectors.joining(",")) + "],\"at\":9}";
	}

	private static <T> T read(String answer, CallOf<T> call) throws Exception {
		try (ScriptedStore store = ScriptedStore.start((path) -> answer)) {
			return call.start(store.client()).get(20, TimeUnit.SECONDS);
		}
	}

	private static Map<String, Boolean> targets(Feed.Page<TargetChange> page) {
		return page.items()
			.stream()
			.collect(Collectors.toMap((change) -> change.name().value(), (change) -> change.entry().isPresent(),
					(first, last) -> last));
	}

	// Guards against one entry of another writer that hides all other entries.
	@Test
	void theOtherEntriesOfAListHoldBesideAnUnreadableOne() throws Exception {
		for (String odd : OddEntries.contents().toList()) {
			Feed.Page<TargetChange> page = read(list(object("\"a\"", OddEntries.sound(80)), object("\"odd\"", odd),
					object("\"z\"", OddEntries.sound(81))), (store) -> store.targets().list());
			assertThat(targets(page)).as(start(odd)).isEqualTo(Map.of("a", true, "odd", false, "z", true));
			assertThat(page.revision()).isEqualTo(9);
		}
	}

	// Guards against a sound target that stays in use when its entry becomes unreadable.
	@Test
	void aChangeToAnUnreadableEntryRemovesItsTargetAndNoOther() throws Exception {
		for (String odd : OddEntries.contents().toList()) {
			Feed.Page<TargetChange> page = read(events(object("\"a\"", OddEntries.sound(80)), object("\"odd\"", odd),
					object("\"z\"", OddEntries.sound(81))), (store) -> store.targets().changes(8, NO_WAIT));
			assertThat(targets(page)).as(start(odd)).isEqualTo(Map.of("a", true, "odd", false, "z", true));
		}
	}

	// Guards against names that fail each request to their target, or forge log lines.
	@Test
	void anObjectWithoutAUsableNameIsDroppedAlone() throws Exception {
		List<String> odd = Stream
			.concat(ODD_NAMES.stream().map((name) -> object(name, OddEntries.sound(80))), ODD_OBJECTS.stream())
			.toList();
		for (String object : odd) {
			String sound = object("\"a\"", OddEntries.sound(80));
			assertThat(targets(read(list(object, sound), (store) -> store.targets().list()))).as(start(object))
				.isEqualTo(Map.of("a", true));
			assertThat(targets(read(events(sound, object), (store) -> store.targets().changes(8, NO_WAIT))))
				.as(start(object))
				.isEqualTo(Map.of("a", true));
		}
	}

	// Guards against a wrong type beside an object that is taken for its deletion.
	@Test
	void anEventWithoutAnObjectOrAReadableDeletionIsDroppedAlone() throws Exception {
		String sound = "{\"object\":" + object("\"a\"", OddEntries.sound(80)) + ",\"deleted\":false}";
		String deleted = "{\"deleted\":true,\"object\":{\"metadata\":{\"name\":\"gone\"}}}";
		for (String odd : List.of("7", "{}", "null", "[]", "{\"object\":null,\"deleted\":true}",
				"{\"deleted\":true}")) {
			Feed.Page<TargetChange> page = read("{\"at\":9,\"events\":[" + odd + ',' + sound + ',' + deleted + "]}",
					(store) -> store.targets().changes(8, NO_WAIT));
			assertThat(targets(page)).as(odd).isEqualTo(Map.of("a", true, "gone", false));
		}
	}

	// Guards against a double key that hides the sound value behind it.
	@Test
	void theLastOfTwoEqualKeysCounts() throws Exception {
		String twice = "{\"metadata\":{\"name\":\"x\",\"name\":\"a\"},\"spec\":1,\"spec\":" + OddEntries.sound(80)
				+ '}';
		assertThat(targets(read(list(twice), (store) -> store.targets().list()))).isEqualTo(Map.of("a", true));
	}

	@Test
	void aPageWithSpacesAndEscapedKeysIsRead() throws Exception {
		String page = " { \"at\" : 9 ,\n\t\"h\\u0061s_more\" : false , \"items\" : [ "
				+ object("\"a\"", OddEntries.with("extra", "\"]}\\\"[{\\\\\"")) + " , "
				+ object("\"z\\u0031\"", OddEntries.sound(80)) + " ] } ";
		assertThat(targets(read(page, (store) -> store.targets().list()))).isEqualTo(Map.of("a", true, "z1", true));
	}

	@Test
	void anEmptyPageIsRead() throws Exception {
		assertThat(read("{\"items\":[],\"at\":1}", (store) -> store.targets().list()).items()).isEmpty();
		assertThat(read("{\"events\":[ ],\"at\":1}", (store) -> store.targets().changes(1, NO_WAIT)).items()).isEmpty();
	}

	// Guards against a broken page that counts as an empty directory.
	@Test
	void aBrokenPageIsAFailedCall() throws Exception {
		for (String page : List.of("", "7", "[]", "null", "{\"items\":[]}", "{\"items\":[],\"at\":1e999}",
				"{\"items\":[],\"at\":-1}", "{\"items\":[],\"at\":\"9\"}", "{\"items\":{},\"at\":9}", "{\"at\":9}",
				"{\"items\":[],\"at\":1" + "0".repeat(400) + '}', "{\"items\":[],\"at\":9,\"has_more\":1}",
				"{\"items\":[1,],\"at\":9}", "{\"items\":[" + "1,".repeat(1_000_000) + "1],\"at\":9}", "{\"items\":[1",
				"{\"items\":[],\"at\":9}}", "{\"items\":[] \"at\":9}", "{\"items\":[" + "[".repeat(100_000),
				"{\"items\":[\"", "{\"items\":[\"\\", "\u00ff\u00fe")) {
			assertThatThrownBy(() -> read(page, (store) -> store.targets().list())).as(start(page))
				.hasRootCauseInstanceOf(Feed.UnreadablePageException.class);
		}
	}

	// Guards against a list that never ends because its continuation stays the same.
	@Test
	void aListWhoseContinuationDoesNotAdvanceIsAFailedCall() throws Exception {
		String page = list(object("\"a\"", OddEntries.sound(80))).replace("false", "true");
		assertThatThrownBy(() -> read(page, (store) -> store.targets().list()))
			.hasRootCauseInstanceOf(Feed.UnreadablePageException.class);
		assertThatThrownBy(
				() -> read(list(object("7", "{}")).replace("false", "true"), (store) -> store.targets().list()))
			.hasRootCauseInstanceOf(Feed.UnreadablePageException.class);
	}

	@Test
	void aListOfSeveralPagesContinuesBehindAnOddObject() throws Exception {
		UnaryOperator<String> answers = (path) -> path.contains("after=odd")
				? list(object("\"z\"", OddEntries.sound(80)))
				: list(object("\"a\"", OddEntries.sound(80)), object("\"odd\"", "NaN"), "7").replace("false", "true");
		try (ScriptedStore store = ScriptedStore.start(answers)) {
			assertThat(targets(store.client().targets().list().get(20, TimeUnit.SECONDS)))
				.isEqualTo(Map.of("a", true, "odd", false, "z", true));
		}
	}

	// Guards against an odd node that hides the others from a node that starts.
	@Test
	void theOtherNodesHoldBesideAnUnreadableOne() throws Exception {
		String sound = "{\"address\":\"10.0.0.1:7100\",\"data_centre\":\"north\",\"processor\":0.5}";
		for (String odd : List.of("7", "{}", sound.replace("7100", "0"), sound.replace("10.0.0.1", "node.invalid"),
				sound.replace("0.5", "1e999"), sound.replace("0.5", "-1"), sound.replace("0.5", "NaN"),
				sound.replace("0.5", "\"1\""), sound.replace("0.5", "[".repeat(100_000) + "]".repeat(100_000)),
				sound.replace("0.5}", "0.5,\"proxy_address\":7}"), sound.replace("north", "\\n"))) {
			List<NodeRecord> nodes = read(list(object("\"a\"", sound), object("\"odd\"", odd), object("\"z\"", sound),
					object("\"a b\"", sound)), (store) -> store.nodes().list(true));
			assertThat(nodes).as(start(odd)).extracting(NodeRecord::name).containsExactly("a", "z");
		}
	}

	// Guards against an evacuation that is not seen beside an unreadable object.
	@Test
	void evacuationsHoldWhateverTheirContent() throws Exception {
		for (String odd : List.of("7", "NaN", "\"\u00ff\"", "[".repeat(100_000) + "]".repeat(100_000))) {
			List<EvacuationChange> changes = read(
					list(object("\"north\"", odd), object("7", "{}"), object("\"south\"", "{}")),
					(store) -> store.evacuations().list())
				.items();
			assertThat(changes).extracting((change) -> change.dataCentre().value()).containsExactly("north", "south");
		}
	}

	// Guards against an unreadable object beside the configuration that hides it.
	@Test
	void theConfigurationHoldsBesideUnreadableObjects() throws Exception {
		String configuration = "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
		for (String odd : List.of("7", "NaN", "\"\u00ff\"", "[".repeat(100_000) + "]".repeat(100_000))) {
			List<StoredConfiguration> read = read(
					list(object("\"other\"", odd), object("\"main\"", configuration), object("7", "{}")),
					(store) -> store.configurations().list())
				.items();
			assertThat(read).extracting((each) -> each.configuration().version()).containsExactly(7L);
			assertThat(read(list(object("\"main\"", odd)), (store) -> store.configurations().list()).items()).isEmpty();
		}
	}

	@Test
	void aTargetNameIsTakenAsItIsWritten() throws Exception {
		String name = "i-7f3a91c2.x_Y~9";
		assertThat(read(list(object('"' + name + '"', OddEntries.sound(80))), (store) -> store.targets().list()).items()
			.get(0)
			.name()).isEqualTo(TargetName.of(name));
	}

	// Guards against groups that an engine's odd report moves.
	@Test
	void aReportWithAnOddValueIsRefused() {
		String group = "{\"sequence\":1,\"group\":{\"name\":\"m.7\",\"epoch\":7,\"rank\":1,\"state\":\"ready\",";
		String huge = "1" + "0".repeat(400);
		for (String report : List.of("7", "{}", "{\"sequence\":" + huge + '}', "{\"sequence\":-1}",
				"{\"sequence\":1e999}", "{\"sequence\":1,\"staged\":7}", "{\"sequence\":1,\"group\":\"m.7\"}",
				group + "\"epoch\":" + huge + "}}", group + "\"rank\":4294967296}}", group + "\"state\":\"lost\"}}",
				group + "\"x\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}}")) {
			assertThatThrownBy(() -> TargetDecoder
				.decodeReport(JsonText.of(report.getBytes(StandardCharsets.UTF_8)).parse(BoundedJson.create())))
				.as(start(report))
				.isInstanceOf(IllegalArgumentException.class);
		}
	}

	private static String start(String text) {
		return text.substring(0, Math.min(text.length(), 200));
	}

	/**
	 * Call of the store.
	 *
	 * @param <T> type of its answer
	 */
	@FunctionalInterface
	private interface CallOf<T> {

		/**
		 * Starts the call.
		 * @param store the client of the store
		 * @return the answer
		 */
		CompletableFuture<T> start(PlatformStore store);

	}

}
