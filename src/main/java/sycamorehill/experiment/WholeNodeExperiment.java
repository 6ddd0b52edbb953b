package sycamorehill.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.model.ticket.WorkspaceKeys;

/**
 * What a whole node's decisions cost at several sizes of a data centre: processor time of
 * a request and of a second without requests, heap of the state, platform calls a second.
 * The node carries every duty of its data centre alone, which is the worst case.
 */
public final class WholeNodeExperiment {

	private static final int[] VMS = { 32, 80, 160, 320, 640 };

	private static final int MEMBERS = 16;

	private static final int VMS_PER_DOMAIN = 32;

	private static final int WARM_UP_REQUESTS = 3000;

	private static final int REQUESTS = 5000;

	private static final Duration SETTLE = Duration.ofSeconds(40);

	private static final Duration IDLE = Duration.ofSeconds(60);

	private static final Duration PAUSE = Duration.ofMillis(100);

	private static final int REQUESTS_PER_PAUSE = 5;

	private static final double NANOS_PER_MICRO = 1000.0;

	private static final double NANOS_PER_MILLI = 1_000_000.0;

	private static final double BYTES_PER_MEGABYTE = 1_000_000.0;

	private static final DataCentreName DATA_CENTRE = DataCentreName.of("fukuoka");

	private static final ServiceName SERVICE = ServiceName.of("drafting");

	private static final String KEY_HASH = WorkspaceKeys.hash("experiment");

	private WholeNodeExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @return the table
	 */
	public static String run() {
		List<String> lines = new ArrayList<>();
		lines.add(
				"| VMs | groups serving | request, µs | a second without requests, ms | heap of the state, MB | platform calls a second |");
		lines.add("| --- | --- | --- | --- | --- | --- |");
		measure(VMS[0]);
		for (int vms : VMS) {
			lines.add(measure(vms));
		}
		return String.join(System.lineSeparator(), lines);
	}

	private static String measure(int vms) {
		long heapBefore = heap();
		WholeNode node = WholeNode.start(identity(), vmList(vms));
		node.advance(Duration.ofSeconds(5));
		node.feed(new OperatorEvent.TicketFiled(new OperatorCallIdentifier(1), ticket(vms / MEMBERS)));
		node.advance(SETTLE);
		int serving = servingGroups(node);
		requests(node, 0, WARM_UP_REQUESTS);
		double request = requests(node, WARM_UP_REQUESTS, REQUESTS) / NANOS_PER_MICRO / REQUESTS;
		long calls = node.platformCalls();
		long start = System.nanoTime();
		node.advance(IDLE);
		double idle = (System.nanoTime() - start) / NANOS_PER_MILLI / IDLE.toSeconds();
		double callsPerSecond = (node.platformCalls() - calls) / (double) IDLE.toSeconds();
		double heap = (heap() - heapBefore) / BYTES_PER_MEGABYTE;
		if (node.completed() < WARM_UP_REQUESTS) {
			throw new IllegalStateException("only " + node.completed() + " requests got an answer");
		}
		return String.format("| %d | %d | %.1f | %.2f | %.2f | %.2f |", vms, serving, request, idle, heap,
				callsPerSecond);
	}

	private static long requests(WholeNode node, int from, int count) {
		long nanos = 0;
		for (int number = from; number < from + count; number++) {
			if (number % REQUESTS_PER_PAUSE == 0) {
				node.advance(PAUSE);
			}
			RequestDescription request = request(node, number);
			long start = System.nanoTime();
			node.request(request);
			nanos += System.nanoTime() - start;
		}
		return nanos;
	}

	private static int servingGroups(WholeNode node) {
		return node.state()
			.group()
			.allocation()
			.known()
			.map((known) -> (int) known.groups()
				.values()
				.stream()
				.filter((group) -> group.phase() == GroupPhase.SERVING)
				.count())
			.orElse(0);
	}

	private static NodeIdentity identity() {
		return new NodeIdentity(NodeIncarnation.of(NodeName.of("fukuoka-1"), 1), DATA_CENTRE,
				Address.of("127.0.0.1", 1));
	}

	private static List<VmEntry> vmList(int vms) {
		List<VmEntry> entries = new ArrayList<>();
		for (int number = 0; number < vms; number++) {
			entries.add(new VmEntry(VmName.of(String.format("vm-%03d", number)), DATA_CENTRE,
					FabricDomain.of("domain-" + number / VMS_PER_DOMAIN), Address.of("127.0.0.1", 10_000 + number),
					VmStatus.LIVE, "instance"));
		}
		return entries;
	}

	private static TicketDraft ticket(int groups) {
		return new TicketDraft(FilingIdentifier.of("experiment"), "experiment", "sizes", List.of(
				ItemChange.set(ServiceItem.model(SERVICE, "model", "1"), 0),
				ItemChange.set(new ModelGroupItem(GroupSetName.of("drafting"), SERVICE, DATA_CENTRE, groups, MEMBERS, 0,
						false, true), 0),
				ItemChange.set(new WorkspaceItem(WorkspaceName.of("stable"), KEY_HASH, 100_000, 1e9, 100_000, 1), 0)));
	}

	private static RequestDescription request(WholeNode node, int number) {
		return new RequestDescription(RequestIdentifier.of(identity().incarnation(), number), KEY_HASH, SERVICE, "POST",
				"/v1/chat/completions", 500, 64, List.of((long) (number % 20), (long) number), Priority.NORMAL,
				node.now().plusSeconds(30), Optional.empty(), new Fingerprint(Integer.toHexString(number)));
	}

	private static long heap() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
