package sycamorehill.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.ticket.PlainTarget;

/**
 * All stand-ins of outside systems in one process: platform, VM list, weight store,
 * engines and plain services.
 */
public final class StandInCluster implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int CLOCK_THREADS = 2;

	private static final long LIST_LAG_MILLISECONDS = 1000;

	private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(CLOCK_THREADS, (work) -> {
		Thread thread = new Thread(work, "stand-in-clock");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<VmName, PlacedEngine> engines = new LinkedHashMap<>();

	private final Map<ServiceName, List<PlainServiceStandIn.Placed>> plainServices = new LinkedHashMap<>();

	private final Fleet fleet;

	private final PlatformStandIn platform;

	private volatile List<VmEntry> vmList = List.of();

	private StandInCluster(StandInSettings settings) {
		this.fleet = new Fleet(new EngineFleet.WeightStore(settings.timing().concurrentLoads()));
		for (DataCentreName dataCentre : settings.dataCentres()) {
			startEngines(dataCentre, settings);
		}
		for (ServiceName service : settings.plainServices()) {
			startPlainService(service, settings);
		}
		this.vmList = engines();
		this.clock.scheduleAtFixedRate(() -> this.vmList = engines(), LIST_LAG_MILLISECONDS, LIST_LAG_MILLISECONDS,
				TimeUnit.MILLISECONDS);
		this.platform = PlatformStandIn.start(settings, this.clock, this::vmListAsJson, this.fleet.weightStore(),
				this::fault);
	}

	/**
	 * Starts all stand-ins.
	 * @param settings what there is to be
	 * @return the running stand-ins
	 */
	public static StandInCluster start(StandInSettings settings) {
		return new StandInCluster(settings);
	}

	/**
	 * Where the platform, the VM list, the weight store and the fault switches are.
	 * @return the address
	 */
	public Address platformAddress() {
		return this.platform.address();
	}

	/**
	 * The platform stand-in.
	 * @return the platform
	 */
	public PlatformStandIn platform() {
		return this.platform;
	}

	/**
	 * The targets of the plain services.
	 * @return the targets of each service
	 */
	public Map<ServiceName, List<PlainTarget>> plainTargets() {
		Map<ServiceName, List<PlainTarget>> targets = new LinkedHashMap<>();
		this.plainServices.forEach((service, placed) -> targets.put(service,
				placed.stream().map(PlainServiceStandIn.Placed::place).toList()));
		return targets;
	}

	/**
	 * What the targets of a plain service have run.
	 * @param service the service
	 * @return the runs of all its targets
	 */
	public List<PlainServiceStandIn.Run> plainRuns(ServiceName service) {
		return this.plainServices.getOrDefault(service, List.of())
			.stream()
			.flatMap((placed) -> placed.standIn().runs().stream())
			.toList();
	}

	/**
	 * The engines as they are now.
	 * @return one entry for each VM
	 */
	public List<VmEntry> engines() {
		return this.engines.values().stream().map(PlacedEngine::entry).toList();
	}

	/**
	 * Switches a fault on.
	 * @param order the fault
	 * @return whether target and fault are known
	 */
	public boolean fault(FaultOrder order) {
		String kind = order.target().substring(0, order.target().indexOf(':') + 1);
		String name = order.target().substring(kind.length());
		return switch (kind) {
			case "vm:" ->
				this.engines.containsKey(VmName.of(name)) && this.engines.get(VmName.of(name)).engine().fault(order);
			case "domain:" -> faultDomain(name, order);
			case "plain:" -> faultPlain(name, order);
			default -> false;
		};
	}

	@Override
	public void close() {
		this.platform.close();
		this.engines.values().forEach((placed) -> placed.engine().close());
		this.plainServices.values().forEach((targets) -> targets.forEach((placed) -> placed.standIn().close()));
		this.clock.shutdownNow();
	}

	private void startEngines(DataCentreName dataCentre, StandInSettings settings) {
		for (int domain = 0; domain < settings.domainsPerDataCentre(); domain++) {
			for (int place = 0; place < settings.vmsPerDomain(); place++) {
				int number = domain * settings.vmsPerDomain() + place;
				VmName vm = VmName.of(String.format("%s-vm-%02d", dataCentre, number));
				EngineStandIn engine = EngineStandIn.start(vm, settings, this.fleet, this.clock);
				FabricDomain fabric = FabricDomain.of(dataCentre + "-domain-" + domain);
				this.engines.put(vm, new PlacedEngine(dataCentre, fabric, engine));
			}
		}
	}

	private void startPlainService(ServiceName service, StandInSettings settings) {
		List<PlainServiceStandIn.Placed> targets = new ArrayList<>();
		for (DataCentreName dataCentre : settings.dataCentres()) {
			String name = service + "-" + dataCentre;
			PlainServiceStandIn standIn = PlainServiceStandIn.start(name, settings.host());
			PlainTarget place = new PlainTarget(TargetName.of(name), dataCentre, standIn.address());
			targets.add(new PlainServiceStandIn.Placed(place, standIn));
		}
		this.plainServices.put(service, List.copyOf(targets));
	}

	private boolean faultDomain(String domain, FaultOrder order) {
		List<PlacedEngine> hit = this.engines.values()
			.stream()
			.filter((placed) -> placed.domain().value().equals(domain))
			.toList();
		hit.forEach((placed) -> placed.engine().fault(order));
		return !hit.isEmpty();
	}

	private boolean faultPlain(String name, FaultOrder order) {
		return this.plainServices.values()
			.stream()
			.flatMap(List::stream)
			.filter((placed) -> placed.place().name().value().equals(name))
			.findFirst()
			.map((placed) -> placed.standIn().fault(order))
			.orElse(false);
	}

	private String vmListAsJson(Optional<String> dataCentre) {
		ObjectNode root = JSON.createObjectNode();
		ArrayNode list = root.putArray("vms");
		for (VmEntry entry : this.vmList) {
			if (dataCentre.isEmpty() || entry.dataCentre().value().equals(dataCentre.get())) {
				list.addObject()
					.put("name", entry.name().value())
					.put("dataCentre", entry.dataCentre().value())
					.put("domain", entry.domain().value())
					.put("host", entry.address().host())
					.put("port", entry.address().port())
					.put("status", entry.status().name())
					.put("instance", entry.instance());
			}
		}
		return root.toString();
	}

	private record PlacedEngine(DataCentreName dataCentre, FabricDomain domain, EngineStandIn engine) {

		private VmEntry entry() {
			VmStatus status = this.engine.status();
			return new VmEntry(this.engine.vm(), this.dataCentre, this.domain, this.engine.address(), status,
					this.engine.instance());
		}

	}

	/**
	 * What the engines notice of each other.
	 */
	private final class Fleet implements EngineFleet {

		private final WeightStore weightStore;

		private Fleet(WeightStore weightStore) {
			this.weightStore = weightStore;
		}

		@Override
		public boolean whole(GroupIdentity group, List<VmName> members) {
			return members.stream()
				.allMatch((member) -> StandInCluster.this.engines.containsKey(member)
						&& StandInCluster.this.engines.get(member).engine().readyIn(group));
		}

		@Override
		public void memberLost(GroupIdentity group, List<VmName> members) {
			for (VmName member : members) {
				if (StandInCluster.this.engines.containsKey(member)) {
					StandInCluster.this.engines.get(member).engine().failGroup(group);
				}
			}
		}

		@Override
		public WeightStore weightStore() {
			return this.weightStore;
		}

	}

}
