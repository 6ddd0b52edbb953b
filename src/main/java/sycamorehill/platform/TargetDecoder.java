package sycamorehill.platform;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;

/**
 * Decodes the entries of targets in the store and the reports that engines return.
 */
final class TargetDecoder {

	private static final int MAXIMUM_STAGED_MODELS = 1000;

	private static final int MAXIMUM_RANK = 100_000;

	private TargetDecoder() {
	}

	static TargetEntry decodeEntry(String name, JsonNode spec) {
		checkUnusedFields(spec);
		return new TargetEntry(TargetName.of(name), ServiceName.of(JsonFields.text(spec, "service")),
				JsonFields.address(spec, "address"), DataCentreName.of(JsonFields.text(spec, "zone")),
				(int) JsonFields.wholeNumber(spec, "batch_slots", 1, TargetEntry.MAXIMUM_SLOTS), isLeaving(spec),
				startMillis(spec), JsonFields.optionalName(spec, "domain"), stagedModels(spec), loadedModel(spec),
				membership(spec), warmUpLeft(spec));
	}

	// An entry whose other fields have the wrong type comes from another writer as well.
	private static void checkUnusedFields(JsonNode spec) {
		JsonNode version = spec.path("version");
		if (!version.isMissingNode() && !version.isTextual() && !version.isNumber()) {
			throw JsonFields.invalidField("version", "a text");
		}
		if (spec.hasNonNull("sequence")) {
			JsonFields.wholeNumber(spec, "sequence");
		}
	}

	private static Duration warmUpLeft(JsonNode spec) {
		if (!spec.hasNonNull("warmup_left_ms")) {
			return Duration.ZERO;
		}
		double millis = JsonFields.number(spec, "warmup_left_ms");
		if (millis > TargetEntry.MAXIMUM_WARM_UP.toMillis()) {
			throw JsonFields.invalidField("warmup_left_ms", "at most " + TargetEntry.MAXIMUM_WARM_UP);
		}
		return Duration.ofMillis(Math.max(0, Math.round(millis)));
	}

	// In a report, the field 'sequence' counts accepted commands; in the store, it counts
	// heartbeats.
	static EngineReport decodeReport(JsonNode report) {
		return new EngineReport(JsonFields.wholeNumber(report, "sequence"), stagedModels(report), membership(report));
	}

	private static boolean isLeaving(JsonNode spec) {
		String state = JsonFields.text(spec, "state");
		return switch (state) {
			case "ready" -> false;
			case "draining" -> true;
			default -> throw new IllegalArgumentException(
					"field 'state' has the unknown value '" + JsonFields.abbreviated(state) + "'");
		};
	}

	static long startMillis(JsonNode spec) {
		return spec.hasNonNull("born") ? JsonFields.wholeNumber(spec, "born") : 0;
	}

	private static Set<String> stagedModels(JsonNode spec) {
		if (!spec.hasNonNull("staged")) {
			return Set.of();
		}
		Set<String> staged = new HashSet<>();
		JsonNode models = JsonFields.list(spec, "staged");
		if (models.size() > MAXIMUM_STAGED_MODELS) {
			throw JsonFields.invalidField("staged", "a list of at most " + MAXIMUM_STAGED_MODELS + " models");
		}
		models
			.forEach((model) -> staged.add(JsonFields.nameOf(model.isObject() ? model.path("name") : model, "staged")));
		return staged;
	}

	private static Optional<String> loadedModel(JsonNode spec) {
		if (!spec.hasNonNull("models")) {
			return Optional.empty();
		}
		return JsonFields.optionalName(JsonFields.list(spec, "models").path(0), "name");
	}

	private static Optional<Membership> membership(JsonNode spec) {
		JsonNode group = spec.path("group");
		if (!group.isObject() && !group.isMissingNode() && !group.isNull()) {
			throw JsonFields.invalidField("group", "an object");
		}
		return JsonFields.optionalName(group, "name")
			.map((name) -> new Membership(name, JsonFields.wholeNumber(group, "epoch"),
					(int) JsonFields.wholeNumber(group, "rank", 0, MAXIMUM_RANK),
					memberState(JsonFields.text(group, "state"))));
	}

	private static MemberState memberState(String state) {
		return switch (state) {
			case "joining" -> MemberState.JOINING;
			case "ready" -> MemberState.READY;
			case "open" -> MemberState.OPEN;
			case "closing" -> MemberState.CLOSING;
			case "broken" -> MemberState.BROKEN;
			default -> throw new IllegalArgumentException(
					"a group's state has the unknown value '" + JsonFields.abbreviated(state) + "'");
		};
	}

}
