package sycamorehill.platform;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import sycamorehill.model.identity.Address;
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

	private TargetDecoder() {
	}

	static TargetEntry decodeEntry(String name, JsonNode spec) {
		return new TargetEntry(TargetName.of(name), ServiceName.of(JsonFields.text(spec, "service")),
				Address.parse(JsonFields.text(spec, "address")), DataCentreName.of(JsonFields.text(spec, "zone")),
				(int) JsonFields.wholeNumber(spec, "batch_slots"), isLeaving(spec), startMillis(spec),
				JsonFields.optionalText(spec, "domain"), stagedModels(spec), loadedModel(spec), membership(spec),
				warmUpLeft(spec));
	}

	// A value that can't be read says nothing about the target, which is used like any
	// other.
	private static Duration warmUpLeft(JsonNode spec) {
		JsonNode left = spec.path("warmup_left_ms");
		return left.isNumber() ? Duration.ofMillis(Math.max(0, Math.round(left.doubleValue()))) : Duration.ZERO;
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
			default -> throw new IllegalArgumentException("field 'state' has the unknown value '" + state + "'");
		};
	}

	static long startMillis(JsonNode spec) {
		JsonNode startMillis = spec.path("born");
		return startMillis.isIntegralNumber() ? startMillis.longValue() : 0;
	}

	private static Set<String> stagedModels(JsonNode spec) {
		Set<String> staged = new HashSet<>();
		spec.path("staged")
			.forEach((model) -> staged.add(model.isTextual() ? model.textValue() : model.path("name").asText()));
		return staged;
	}

	private static Optional<String> loadedModel(JsonNode spec) {
		return JsonFields.optionalText(spec.path("models").path(0), "name");
	}

	private static Optional<Membership> membership(JsonNode spec) {
		JsonNode group = spec.path("group");
		if (!group.isObject() || JsonFields.optionalText(group, "name").filter((name) -> !name.isEmpty()).isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Membership(JsonFields.text(group, "name"), JsonFields.wholeNumber(group, "epoch"),
				(int) JsonFields.wholeNumber(group, "rank"), memberState(JsonFields.text(group, "state"))));
	}

	private static MemberState memberState(String state) {
		return switch (state) {
			case "joining" -> MemberState.JOINING;
			case "ready" -> MemberState.READY;
			case "open" -> MemberState.OPEN;
			case "closing" -> MemberState.CLOSING;
			case "broken" -> MemberState.BROKEN;
			default -> throw new IllegalArgumentException("a group's state has the unknown value '" + state + "'");
		};
	}

}
