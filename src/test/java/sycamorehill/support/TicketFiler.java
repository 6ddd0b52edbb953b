package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.experiment.ControlNode;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;

/**
 * One operator: files one ticket after the other through any node, and files again
 * through another node when the outcome is not known.
 */
public final class TicketFiler {

	private static final Duration PATIENCE = Duration.ofSeconds(20);

	private static final Duration LOOK = Duration.ofMillis(50);

	private static final int SERVICES = 4;

	private static final int MOST_TRIES = 4;

	private final NodeGroup group;

	private final TicketHistory history;

	private final RandomGenerator random;

	private final String name;

	private int filed;

	private boolean over;

	private TicketFiler(NodeGroup group, TicketHistory history, RandomGenerator random, String name) {
		this.group = group;
		this.history = history;
		this.random = random;
		this.name = name;
	}

	public static TicketFiler start(NodeGroup group, TicketHistory history, RandomGenerator random, String name) {
		TicketFiler filer = new TicketFiler(group, history, random, name);
		group.at(Duration.ofMillis(random.nextInt(1000)), filer::fileNext);
		return filer;
	}

	public void end() {
		this.over = true;
	}

	private void fileNext() {
		if (this.over) {
			return;
		}
		ControlNode node = anyNode();
		if (node.desiredState().isEmpty()) {
			this.group.at(Duration.ofMillis(500), this::fileNext);
			return;
		}
		file(node, draft(node.desiredState().get()), 1);
	}

	private void file(ControlNode node, TicketDraft draft, int tries) {
		Instant began = this.group.now();
		OperatorCallIdentifier call = this.group.file(node.self().incarnation().node().value(), draft);
		look(draft, call, began, tries);
	}

	private void look(TicketDraft draft, OperatorCallIdentifier call, Instant began, int tries) {
		FilingOutcome outcome = this.group.outcome(call);
		boolean tooLate = began.plus(PATIENCE).isBefore(this.group.now());
		if (outcome == null && !tooLate) {
			this.group.at(LOOK, () -> look(draft, call, began, tries));
			return;
		}
		this.history.called(draft.filing(), began, this.group.now(), Optional.ofNullable(outcome));
		boolean unknown = outcome == null || outcome instanceof FilingOutcome.NotKnown;
		boolean again = unknown || this.random.nextInt(8) == 0;
		if (again && tries < MOST_TRIES && !this.over) {
			file(anyNode(), draft, tries + 1);
		}
		else {
			this.group.at(Duration.ofMillis(this.random.nextInt(1500)), this::fileNext);
		}
	}

	private TicketDraft draft(DesiredState truth) {
		String filing = this.name + "-" + (++this.filed);
		List<ItemChange> changes = new ArrayList<>();
		int first = this.random.nextInt(SERVICES);
		changes.add(change(truth, "service-" + first, filing));
		if (this.random.nextInt(3) == 0) {
			changes.add(change(truth, "service-" + ((first + 1) % SERVICES), filing));
		}
		return Drafts.of(filing, changes.toArray(ItemChange[]::new));
	}

	private ItemChange change(DesiredState truth, String service, String version) {
		ItemKey key = ItemKey.of(ItemKind.SERVICE, service);
		if (truth.lastSetBy(key) > 0 && this.random.nextInt(6) == 0) {
			return ItemChange.remove(key, truth.lastSetBy(key));
		}
		return ItemChange.set(ServiceItem.model(ServiceName.of(service), "model", version), truth.lastSetBy(key));
	}

	private ControlNode anyNode() {
		List<ControlNode> nodes = this.group.nodes();
		return nodes.get(this.random.nextInt(nodes.size()));
	}

}
