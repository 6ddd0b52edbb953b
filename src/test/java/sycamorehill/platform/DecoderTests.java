package sycamorehill.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests how valid and malformed objects and settings of the platform are decoded.
 */
class DecoderTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String ENTRY = "{'service':'pool','address':'10.0.0.1:80','zone':'north','batch_slots':12,"
			+ "'state':'ready','sequence':4,'born':1784172027169,'models':[{'name':'m'}],'domain':'north-d0',"
			+ "'staged':['m'],'group':{'name':'m.7','epoch':7,'rank':1,'state':'ready'}}";

	private static final String CONFIGURATION = "{'version':7,'routes':[{'name':'r','host':'Feed.Example',"
			+ "'path_prefix':'/a/','kind':'streaming','timeout_ms':6000,'target_latency_ms':300,'priority':1,"
			+ "'backends':[{'service':'pool','weight':9},{'service':'desk','weight':1}],'max_attempts':2,"
			+ "'public':false,'resumable':true,'target_gap_ms':200}],'services':[{'name':'pool','max_connections':9,"
			+ "'engine':{'batch_slots':12,'kv_capacity':9,'stride':5,'models':[{'name':'m','size':4,'share':0.5,"
			+ "'pace':1.0,'load_s':16.0,'warm_s':1.6}],'step_ms':7.8,'per_seq_ms':0.1,'read_per_s':45900.0,"
			+ "'loads_per_s':5.0,'loads_at_once':7,'form_ms':300.0,'usual':{'prompt':979,'answer':154}}},"
			+ "{'name':'desk','max_connections':9}],'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,"
			+ "'header_timeout_ms':3000,'idle_timeout_ms':15000},'tenants':[{'name':'yard','api_keys':['k'],"
			+ "'priority':0}]}";

	private static JsonNode json(String text) {
		try {
			return JSON.readTree(text.replace('\'', '"'));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("not JSON", ex);
		}
	}

	@Test
	void readsEngineInGroup() {
		TargetEntry entry = TargetDecoder.decodeEntry("e1", json(ENTRY));
		assertThat(entry.membership().orElseThrow().state()).isEqualTo(MemberState.READY);
		assertThat(entry.domain()).contains("north-d0");
		assertThat(entry.staged()).containsExactly("m");
		assertThat(entry.leaving()).isFalse();
	}

	@Test
	void readsConfiguration() {
		Configuration configuration = ConfigurationDecoder.decode(json(CONFIGURATION));
		assertThat(configuration.routes().get(0).kind()).isEqualTo(RequestKind.RESUMABLE_STREAM);
		assertThat(configuration.routes().get(0).host()).isEqualTo("feed.example");
		assertThat(configuration.routes().get(0).selectService(0.95)).isEqualTo(ServiceName.of("desk"));
		assertThat(configuration.services().get(ServiceName.of("pool")).engines().orElseThrow().stepTime())
			.isEqualTo(Duration.ofNanos(7_800_000));
		assertThat(configuration.workspacesByApiKey()).containsKey("k");
	}

	@Test
	void readsHomeRegionsOfRoutesAndWorkspaces() {
		String text = CONFIGURATION.replace("'public':false", "'public':false,'allowed_regions':['eu','us']")
			.replace("'api_keys':['k']", "'api_keys':['k'],'allowed_regions':['eu']");
		Configuration configuration = ConfigurationDecoder.decode(json(text));
		assertThat(configuration.routes().get(0).homes()).containsExactlyInAnyOrder(RegionName.of("eu"),
				RegionName.of("us"));
		assertThat(configuration.workspacesByApiKey().get("k").homes()).containsExactly(RegionName.of("eu"));
		for (String none : List.of("[]", "null")) {
			assertThat(ConfigurationDecoder
				.decode(json(CONFIGURATION.replace("'public':false", "'public':false,'allowed_regions':" + none)))
				.routes()
				.get(0)
				.homes()).isEmpty();
		}
	}

	// A list that can't be read must not be taken for one that allows all regions.
	@ParameterizedTest
	@ValueSource(strings = { "[1]", "['eu',null]", "[['eu']]", "'eu'", "{'eu':1}", "true", "['']" })
	void refusesUnreadableHomeRegions(String homes) {
		for (String field : List.of("'public':false", "'api_keys':['k']")) {
			String text = CONFIGURATION.replace(field, field + ",'allowed_regions':" + homes);
			assertThatThrownBy(() -> ConfigurationDecoder.decode(json(text)))
				.isInstanceOf(IllegalArgumentException.class)
				.hasMessageMatching(".*(allowed_regions|name must not be blank).*");
		}
	}

	// Other writers may store entries that lack fields or are not JSON. Decoding one must
	// fail with an IllegalArgumentException, the only failure that the store client
	// handles; the entry then names no target.
	@Property(tries = 2000)
	void malformedObjectsThrowIllegalArgumentException(@ForAll @IntRange(max = 700) int position,
			@ForAll char character, @ForAll boolean entry) {
		String valid = entry ? ENTRY : CONFIGURATION;
		int index = Math.min(position, valid.length() - 1);
		String malformed = valid.substring(0, index) + character + valid.substring(index + 1);
		try {
			if (entry) {
				TargetDecoder.decodeEntry("e1", json(malformed));
			}
			else {
				ConfigurationDecoder.decode(json(malformed));
			}
		}
		catch (IllegalArgumentException ex) {
			assertThat(ex.getMessage()).isNotBlank();
		}
	}

	@Test
	void rejectsEntryWithUnknownState() {
		assertThatThrownBy(() -> TargetDecoder.decodeEntry("e1", json(ENTRY.replace("'ready','seq", "'paused','seq"))))
			.isInstanceOf(IllegalArgumentException.class)
			.hasMessageContaining("paused");
	}

	@Test
	void readsSettingsAndReportsInvalidOnes() throws IOException {
		Path file = Files.createTempFile("settings", ".conf");
		String valid = "node_name=front-north-1\nip=127.0.0.1\nzone=north\nzones.north=r\nbind.front=127.0.0.1:81\n"
				+ "bind.ready=127.0.0.1:82\nport_range=7340,7355\nfirst_start=true\nplatform.address=127.0.0.1:83\n"
				+ "bounds.grace_period_s=8\nbounds.budget_window_s=10\nbounds.retry_budget_ratio=0.2\n"
				+ "bounds.retry_budget_extra=103\nbounds.stall_ms=5000\nbounds.ceiling_window_s=5\nnew.field=x\n";
		Files.writeString(file, valid);
		EntrySettings settings = PlatformSettings.read(file);
		assertThat(settings.peerAddress().port()).isEqualTo(7340);
		assertThat(settings.stopTime()).isEqualTo(Duration.ofSeconds(8));
		assertThat(settings.processorCores()).isEqualTo(1);
		Files.writeString(file, valid + "limits.cpu_share=0.25\nlimits.cpu_cores=2\n");
		assertThat(PlatformSettings.read(file).processorCores()).isEqualTo(0.5);
		Files.writeString(file, valid.replace("bind.front=127.0.0.1:81", "bind.front=nowhere"));
		assertThatThrownBy(() -> PlatformSettings.read(file)).hasMessageContaining("bind.front");
		Files.writeString(file, valid.replace("zone=north\n", ""));
		assertThatThrownBy(() -> PlatformSettings.read(file)).hasMessageContaining("'zone' is missing");
		Files.delete(file);
	}

}
