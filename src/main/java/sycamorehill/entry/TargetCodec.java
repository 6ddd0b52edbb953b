package sycamorehill.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * Encodes changes of targets in messages between nodes.
 */
final class TargetCodec {

	private static final String NAME = "name";

	private static final String SERVICE = "service";

	private static final String ADDRESS = "address";

	private static final String DATA_CENTRE = "data-centre";

	private static final String SLOTS = "slots";

	private static final String LEAVING = "leaving";

	private static final String BORN = "born";

	private static final String DOMAIN = "domain";

	private static final String STAGED = "staged";

	private static final String LOADED = "loaded";

	private static final String GROUP = "group";

	private static final String EPOCH = "epoch";

	private static final String RANK = "rank";

	private static final String STATE = "state";

	private static final String WARM_UP_MILLIS = "warm-up-millis";

	private TargetCodec() {
	}

	static void write(List<TargetChange> changes, ArrayNode into) {
		for (TargetChange change : changes) {
			ObjectNode node = into.addObject().put(NAME, change.name().value());
			change.entry().ifPresent((entry) -> write(entry, node));
		}
	}

	private static void write(TargetEntry entry, ObjectNode node) {
		node.put(SERVICE, entry.service().value())
			.put(ADDRESS, entry.address().toString())
			.put(DATA_CENTRE, entry.dataCentre().value())
			.put(SLOTS, entry.slots())
			.put(LEAVING, entry.leaving())
			.put(BORN, entry.startMillis());
		if (!entry.warmUpLeft().isZero()) {
			node.put(WARM_UP_MILLIS, entry.warmUpLeft().toMillis());
		}
		entry.domain().ifPresent((domain) -> node.put(DOMAIN, domain));
		entry.loaded().ifPresent((model) -> node.put(LOADED, model));
		ArrayNode staged = node.putArray(STAGED);
		entry.staged().forEach(staged::add);
		entry.membership()
			.ifPresent((membership) -> node.put(GROUP, membership.group())
				.put(EPOCH, membership.epoch())
				.put(RANK, membership.rank())
				.put(STATE, membership.state().name()));
	}

	/**
	 * Decodes changes.
	 * @param changes the encoded changes
	 * @return the changes; throws an {@link IllegalArgumentException} if one is invalid
	 */
	static List<TargetChange> read(JsonNode changes) {
		List<TargetChange> read = new ArrayList<>();
		changes.forEach((change) -> {
			TargetName name = TargetName.of(change.path(NAME).asText());
			read.add(new TargetChange(name, change.has(SERVICE) ? Optional.of(entry(name, change)) : Optional.empty()));
		});
		return read;
	}

	private static TargetEntry entry(TargetName name, JsonNode node) {
		Set<String> staged = new HashSet<>();
		node.path(STAGED).forEach((model) -> staged.add(model.asText()));
		return new TargetEntry(name, ServiceName.of(node.path(SERVICE).asText()),
				NumericAddress.parse(node.path(ADDRESS).asText()), DataCentreName.of(node.path(DATA_CENTRE).asText()),
				MessageNumbers.count(node, SLOTS), node.path(LEAVING).asBoolean(),
				MessageNumbers.wholeNumber(node, BORN), text(node, DOMAIN), staged, text(node, LOADED),
				membership(node), MessageNumbers.milliseconds(node, WARM_UP_MILLIS));
	}

	private static Optional<String> text(JsonNode node, String field) {
		return Optional.ofNullable(node.get(field)).map(JsonNode::asText);
	}

	private static Optional<Membership> membership(JsonNode node) {
		return text(node, GROUP).map((group) -> new Membership(group, MessageNumbers.wholeNumber(node, EPOCH),
				MessageNumbers.count(node, RANK), MemberState.valueOf(node.path(STATE).asText())));
	}

}
