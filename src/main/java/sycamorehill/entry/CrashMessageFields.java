package sycamorehill.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Writes and reads the fields of messages about targets that were lost with requests.
 */
final class CrashMessageFields {

	private static final String TARGET = "target";

	private static final String STARTED = "started";

	private static final String ADDRESS = "address";

	private static final String AGE_MILLIS = "age-millis";

	private static final String UNSEEN_MILLIS = "unseen-millis";

	private static final String CRASHED = "crashed";

	private static final String REQUESTS = "requests";

	private static final String REQUEST = "request";

	private static final String TRAITS = "traits";

	private static final String SOUND_TRAITS = "sound-traits";

	private static final String KIND = "kind";

	private static final String VALUE = "value";

	private CrashMessageFields() {
	}

	static void write(NodeMessage.TargetLost lost, ObjectNode body) {
		body.put(TARGET, lost.target().name().value())
			.put(STARTED, lost.target().startMillis())
			.put(ADDRESS, lost.target().address().toString())
			.put(UNSEEN_MILLIS, lost.unseenFor().toMillis())
			.put(CRASHED, lost.crashed());
		ArrayNode requests = body.putArray(REQUESTS);
		for (LostRequest request : lost.requests()) {
			ObjectNode element = requests.addObject()
				.put(REQUEST, request.identifier())
				.put(AGE_MILLIS, request.age().toMillis());
			writeTraits(request.traits(), element.putArray(TRAITS));
			writeTraits(request.soundTraits(), element.putArray(SOUND_TRAITS));
		}
	}

	static NodeMessage readTargetLost(String sender, JsonNode body) {
		Set<LostRequest> requests = new HashSet<>();
		for (JsonNode request : body.path(REQUESTS)) {
			requests.add(new LostRequest(request.path(REQUEST).asText(), readAge(request), readTraits(request),
					readElements(request.path(SOUND_TRAITS))));
		}
		TargetIncarnation target = new TargetIncarnation(TargetName.of(body.path(TARGET).asText()),
				MessageNumbers.wholeNumber(body, STARTED), NumericAddress.parse(body.path(ADDRESS).asText()));
		return new NodeMessage.TargetLost(sender, target, MessageNumbers.milliseconds(body, UNSEEN_MILLIS),
				body.path(CRASHED).asBoolean(), requests);
	}

	static void write(Set<RequestTrait> traits, Duration age, ObjectNode body) {
		body.put(AGE_MILLIS, age.toMillis());
		writeTraits(traits, body.putArray(TRAITS));
	}

	static Duration readAge(JsonNode body) {
		return MessageNumbers.milliseconds(body, AGE_MILLIS);
	}

	private static void writeTraits(Set<RequestTrait> traits, ArrayNode elements) {
		for (RequestTrait trait : traits) {
			elements.addObject().put(KIND, trait.kind().name()).put(VALUE, trait.value());
		}
	}

	static Set<RequestTrait> readTraits(JsonNode body) {
		return readElements(body.path(TRAITS));
	}

	private static Set<RequestTrait> readElements(JsonNode elements) {
		Set<RequestTrait> traits = new HashSet<>();
		for (JsonNode trait : elements) {
			traits.add(
					new RequestTrait(RequestTrait.Kind.valueOf(trait.path(KIND).asText()), trait.path(VALUE).asText()));
		}
		return traits;
	}

}
