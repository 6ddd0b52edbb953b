package sycamorehill.platform;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.json.BoundedJson;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that configurations and settings with one odd value are refused, with an error
 * that names the field.
 */
class OddConfigurationTests {

	private static final ObjectMapper JSON = BoundedJson.create();

	private static final String SOUND = "{'version':7,'routes':[{'name':'r','host':'feed.example',"
			+ "'path_prefix':'/a/','kind':'streaming','timeout_ms':6000,'target_latency_ms':300,'priority':1,"
			+ "'backends':[{'service':'pool','weight':9}],'max_attempts':2,'public':false,'target_gap_ms':200}],"
			+ "'services':[{'name':'pool','max_connections':9,'warmup_s':4,'warmup_per_s':3,"
			+ "'engine':{'batch_slots':12,'kv_capacity':9,'stride':5,'models':[{'name':'m','size':4,'share':0.5,"
			+ "'pace':1.5,'load_s':16.0,'warm_s':1.6}],'step_ms':7.8,'per_seq_ms':0.1,'read_per_s':45900.0,"
			+ "'loads_per_s':5.5,'loads_at_once':7,'form_ms':300.5,'usual':{'prompt':979,'answer':154}}}],"
			+ "'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,'header_timeout_ms':3000,"
			+ "'idle_timeout_ms':15000},'tenants':[{'name':'yard','api_keys':['k'],'priority':0}]}";

	private static final List<String> WHOLE = List.of("'version':7", "'priority':1", "'weight':9", "'max_attempts':2",
			"'max_connections':9", "'batch_slots':12", "'kv_capacity':9", "'stride':5", "'size':4", "'loads_at_once':7",
			"'max_header_bytes':16384", "'max_body_bytes':4194304", "'priority':0");

	private static final List<String> BROKEN = List.of("'timeout_ms':6000", "'target_latency_ms':300",
			"'target_gap_ms':200", "'warmup_s':4", "'warmup_per_s':3", "'share':0.5", "'pace':1.5", "'load_s':16.0",
			"'warm_s':1.6", "'step_ms':7.8", "'per_seq_ms':0.1", "'read_per_s':45900.0", "'loads_per_s':5.5",
			"'form_ms':300.5", "'prompt':979", "'answer':154", "'header_timeout_ms':3000", "'idle_timeout_ms':15000");

	private static Stream<String> oddNumbers() {
		String huge = "1" + "0".repeat(400);
		return Stream.concat(
				WHOLE.stream()
					.flatMap((field) -> Stream.of(huge, "-1", "9223372036854775808", "-9223372036854775809")
						.map((value) -> replaced(field, value))),
				BROKEN.stream()
					.flatMap((field) -> Stream.of(huge, "1e999", "-1", "-1e999")
						.map((value) -> replaced(field, value))));
	}

	private static Stream<String> wrappedNumbers() {
		return WHOLE.stream()
			.filter((field) -> !field.startsWith("'version'") && !field.startsWith("'kv_capacity'"))
			.map((field) -> replaced(field, "4294967297"));
	}

	private static String replaced(String field, String value) {
		return SOUND.replace(field, field.substring(0, field.indexOf(':') + 1) + value);
	}

	private static void decode(String text) throws IOException {
		ConfigurationDecoder.decode(JSON.readTree(text.replace('\'', '"')));
	}

	@Test
	void theSoundConfigurationIsRead() throws IOException {
		decode(SOUND);
	}

	// Guards against numbers that wrap to sound ones or overflow in later decisions.
	@ParameterizedTest
	@MethodSource({ "oddNumbers", "wrappedNumbers" })
	void aNumberOutOfRangeIsRefusedByTheNameOfItsField(String text) {
		assertThat(text).isNotEqualTo(SOUND);
		assertThatThrownBy(() -> decode(text)).isInstanceOf(IllegalArgumentException.class)
			.hasMessageContaining("field '");
	}

	// Guards against a key that any caller could guess.
	@ParameterizedTest
	@ValueSource(strings = { "null", "1", "true", "''", "[]" })
	void anApiKeyThatIsNoTextIsRefused(String key) {
		assertThatThrownBy(() -> decode(SOUND.replace("['k']", '[' + key + ']')))
			.isInstanceOf(IllegalArgumentException.class)
			.hasMessageContaining("api_keys");
	}

	// Guards against log lines that a name forges or fills.
	@Test
	void namesWithControlCharactersOrOfMegabytesAreRefused() {
		for (String name : List.of("a\\nSYC-1001", "\\u0000", "n".repeat(1024 * 1024))) {
			for (String field : List.of("'name':'r'", "'name':'pool'", "'name':'m'", "'name':'yard'",
					"'host':'feed.example'", "'path_prefix':'/a/'", "'kind':'streaming'")) {
				assertThatThrownBy(
						() -> decode(SOUND.replace(field, field.substring(0, field.indexOf(':')) + ":'" + name + "'")))
					.as(field)
					.isInstanceOf(IllegalArgumentException.class)
					.satisfies((failure) -> assertThat(failure.getMessage().length()).isLessThan(300));
			}
		}
	}

	// Guards against times that are 0 or endless because a number can't be used.
	@ParameterizedTest
	@ValueSource(strings = { "NaN", "Infinity", "1e999", "-1", "1e300" })
	void settingsOutOfRangeAreRefusedByName(String value) {
		String settings = "node_name=front-north-1\nip=127.0.0.1\nzone=north\nzones.north=r\nbind.front=127.0.0.1:81\n"
				+ "bind.ready=127.0.0.1:82\nport_range=7340,7355\nfirst_start=true\nplatform.address=127.0.0.1:83\n"
				+ "bounds.grace_period_s=8\nbounds.budget_window_s=10\nbounds.retry_budget_ratio=0.2\n"
				+ "bounds.retry_budget_extra=103\nbounds.stall_ms=5000\nbounds.ceiling_window_s=5\n";
		for (String name : List.of("bounds.grace_period_s=8", "bounds.budget_window_s=10", "bounds.stall_ms=5000",
				"bounds.retry_budget_ratio=0.2", "bounds.retry_budget_extra=103", "bounds.ceiling_window_s=5")) {
			String setting = name.substring(0, name.indexOf('='));
			assertThatThrownBy(() -> PlatformSettings.parse(settings.replace(name, setting + '=' + value)))
				.isInstanceOf(IllegalArgumentException.class)
				.hasMessageContaining(setting);
		}
	}

}
