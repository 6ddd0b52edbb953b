package sycamorehill.entry;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.json.ModelJson;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.support.RecordedLog;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the page that explains placements over loopback.
 */
class PlacementPageTests {

	private static final String QUESTION = "/placement?host=Feed.example:80&path=/once/x%3Fid%3D1";

	private static final String WRONG_KEY = "wrong-key-5c1e07a2";

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int MAXIMUM_ATTEMPTS = 150;

	private static LoopbackNode node;

	@BeforeAll
	static void start() throws Exception {
		Set<RegionName> homes = Set.of(TwoRegions.WEST);
		node = LoopbackNode.start(TwoRegions.configuration(7, homes, Set.of()),
				TwoRegions.plain("n1", TwoRegions.NORTH), TwoRegions.plain("s1", TwoRegions.SOUTH));
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && ask(QUESTION, "key").statusCode() != 200; attempt++) {
			Thread.sleep(20);
		}
	}

	@AfterAll
	static void stop() throws Exception {
		node.close();
	}

	private static HttpResponse<String> ask(String uri, String key) throws Exception {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + node.pageAddress() + uri))
			.timeout(TIMEOUT);
		Optional.ofNullable(key).ifPresent((value) -> request.header(PlacementPage.KEY_HEADER, value));
		return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static PlacementExplanation explanation(HttpResponse<String> answer) throws Exception {
		return ModelJson.json().readValue(answer.body(), PlacementExplanation.class);
	}

	@Test
	void explainsARequest() throws Exception {
		HttpResponse<String> answer = ask(QUESTION + "&tokens=700,175", "key");
		assertThat(answer.statusCode()).isEqualTo(200);
		assertThat(answer.headers().firstValue("Content-Type")).contains("application/json");
		PlacementExplanation explanation = explanation(answer);
		assertThat(explanation.configurationVersion()).isEqualTo(7);
		assertThat(explanation.route().orElseThrow().name()).isEqualTo("/once/");
		assertThat(explanation.route().orElseThrow().homes())
			.isEqualTo(new HomeRegions(Set.of(TwoRegions.WEST), Set.of()));
		assertThat(explanation.workspace().orElseThrow().name().value()).isEqualTo("yard");
		assertThat(explanation.choice().orElseThrow().target()).contains(TargetName.of("s1"));
		assertThat(explanation.refusal()).isEmpty();
		assertThat(explanation.targets()).extracting((target) -> target.name().value()).containsExactly("s1", "n1");
		assertThat(explanation.targets().get(1).leftOut()).contains("outside the home regions");
	}

	// Programs of operators read the names and forms of the fields.
	@Test
	void theJsonHasNamesAndTimesAsText() throws Exception {
		JsonNode tree = ModelJson.json().readTree(ask(QUESTION, "key").body());
		assertThat(tree.at("/node/region").textValue()).isEqualTo("east");
		assertThat(tree.at("/route/homes/ofRoute/0").textValue()).isEqualTo("west");
		assertThat(tree.at("/targets/0/expectedTime").textValue()).isEqualTo("PT0.03S");
		assertThat(tree.at("/targets/0/load/slots").intValue()).isEqualTo(6);
		assertThat(tree.at("/choice/onTime").booleanValue()).isTrue();
	}

	@Test
	void anUnknownRouteIsNotFound() throws Exception {
		HttpResponse<String> answer = ask("/placement?host=feed.example&path=/nowhere/", "key");
		assertThat(answer.statusCode()).isEqualTo(404);
		assertThat(explanation(answer).refusal().orElseThrow().cause()).isEqualTo("no route leads there");
	}

	// Keys of workspaces must not be read in logs or in the answers of nodes.
	@Test
	void aKeyAppearsInNoAnswerAndNoLogLine() throws Exception {
		HttpResponse<String> unknown = ask(QUESTION, WRONG_KEY);
		assertThat(unknown.statusCode()).isEqualTo(401);
		assertThat(explanation(unknown).refusal().orElseThrow().cause()).isEqualTo("the key is not known");
		HttpResponse<String> misplaced = ask(QUESTION + "&key=" + WRONG_KEY, null);
		assertThat(misplaced.statusCode()).isEqualTo(400);
		assertThat(misplaced.body()).contains(PlacementPage.KEY_HEADER);
		assertThat(ask(QUESTION + "&tokens=" + WRONG_KEY, null).statusCode()).isEqualTo(400);
		assertThat(List.of(unknown.body(), misplaced.body())).noneMatch((body) -> body.contains(WRONG_KEY));
		assertThat(RecordedLog.lines(WRONG_KEY)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "/placement", "/placement?host=feed.example", "/placement?path=/once/x",
			"/placement?host=&path=/once/x", "/placement?host=feed.example&path=/once/x&path=/again/x",
			"/placement?host=feed.example&path=/once/x&tokens=7", "/placement?host=feed.example&path=/once/x&more=1" })
	void aQuestionThatDescribesNoRequestIsBad(String uri) throws Exception {
		HttpResponse<String> answer = ask(uri, "key");
		assertThat(answer.statusCode()).isEqualTo(400);
		assertThat(answer.body()).isNotBlank();
	}

	@Test
	void otherPagesAreAsBefore() throws Exception {
		assertThat(ask("/metrics", null).statusCode()).isEqualTo(200);
		assertThat(ask("/placements", null).statusCode()).isEqualTo(404);
	}

}
