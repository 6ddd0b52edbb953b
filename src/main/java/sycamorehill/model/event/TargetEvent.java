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
 * Events of target VMs.
 */
public sealed interface TargetEvent extends Event {

	/**
	 * An engine reported of itself.
	 *
	 * @param report the report
	 * @param askedAt own monotonic time from before it was asked
	 */
	record ReportReceived(VmReport report, Instant askedAt) implements TargetEvent {
	}

	/**
	 * An engine could not be asked.
	 *
	 * @param vm the VM
	 * @param refused whether its address refused the connection
	 */
	record ReportFailed(VmName vm, boolean refused) implements TargetEvent {
	}

	/**
	 * An order to an engine ended.
	 *
	 * @param call the order
	 * @param result how it ended
	 */
	record OrderAnswered(CallIdentifier call, EngineCommandResult result) implements TargetEvent {
	}

	/**
	 * The VM list was read.
	 *
	 * @param dataCentre the data centre asked for
	 * @param entries its VMs
	 */
	record VmListRead(DataCentreName dataCentre, List<VmEntry> entries) implements TargetEvent {
	}

	/**
	 * The VM list could not be read.
	 *
	 * @param dataCentre the data centre asked for
	 */
	record VmListFailed(DataCentreName dataCentre) implements TargetEvent {
	}

}
