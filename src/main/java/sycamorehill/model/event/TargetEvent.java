package sycamorehill.model.event;

import java.time.Instant;
import java.util.List;

import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.VmName;

/**
 * Events from target VMs.
 */
public sealed interface TargetEvent extends Event {

	/**
	 * An engine's report was received.
	 *
	 * @param report the report
	 * @param askedAt this node's monotonic time before the report was requested
	 */
	record ReportReceived(VmReport report, Instant askedAt) implements TargetEvent {
	}

	/**
	 * An engine's report could not be read.
	 *
	 * @param vm the VM
	 * @param refused whether the connection was refused
	 */
	record ReportFailed(VmName vm, boolean refused) implements TargetEvent {
	}

	/**
	 * A command to an engine ended.
	 *
	 * @param call identifier of the call
	 * @param result its result
	 */
	record OrderAnswered(CallIdentifier call, EngineCommandResult result) implements TargetEvent {
	}

	/**
	 * The VM list was read.
	 *
	 * @param dataCentre the requested data centre
	 * @param entries its VMs
	 */
	record VmListRead(DataCentreName dataCentre, List<VmEntry> entries) implements TargetEvent {
	}

	/**
	 * The VM list could not be read.
	 *
	 * @param dataCentre the requested data centre
	 */
	record VmListFailed(DataCentreName dataCentre) implements TargetEvent {
	}

}
