package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

/**
 * Selects the nodes of other data centres that relay store updates there: the preferred
 * one of each data centre, and the one that sent its last update, which replaces the
 * first if that has failed.
 */
final class RelayNodes {

	private final Map<DataCentreName, LastSender> lastSenders = new HashMap<>();

	private RelayNodes() {
	}

	static RelayNodes create() {
		return new RelayNodes();
	}

	void record(NodeMessage.StoreUpdate update, Instant now) {
		this.lastSenders.put(update.dataCentre(), new LastSender(update.sender(), now));
	}

	/**
	 * Selects one or two nodes of each data centre.
	 * @param remote the nodes of other data centres
	 * @param since when the last message of a live node arrived at the earliest
	 * @param preference returns the one of two nodes that is preferred
	 * @return the names of the nodes
	 */
	Collection<String> select(List<NodeRecord> remote, Instant since, BinaryOperator<String> preference) {
		Map<DataCentreName, String> preferred = new HashMap<>();
		remote.forEach((node) -> preferred.merge(node.dataCentre(), node.name(), preference));
		Set<String> known = remote.stream().map(NodeRecord::name).collect(Collectors.toSet());
		Set<String> selected = new TreeSet<>(preferred.values());
		preferred.keySet()
			.stream()
			.flatMap((dataCentre) -> Optional.ofNullable(this.lastSenders.get(dataCentre)).stream())
			.filter((sender) -> since.isBefore(sender.receivedAt().plus(PeerNodes.MINIMUM_LIVENESS_TIMEOUT)))
			.map(LastSender::node)
			.filter(known::contains)
			.forEach(selected::add);
		return selected;
	}

	/**
	 * Identifies the node of a data centre that last sent a store update.
	 *
	 * @param node the node's name
	 * @param receivedAt when the message was received
	 */
	private record LastSender(String node, Instant receivedAt) {
	}

}
