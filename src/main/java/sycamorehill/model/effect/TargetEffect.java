package sycamorehill.model.effect;

import java.time.Instant;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.VmName;

/**
 * Effects on target VMs.
 */
public sealed interface TargetEffect extends Effect {

	/**
	 * Requests an engine's report.
	 *
	 * @param vm the VM
	 * @param address where its engine listens
	 */
	record AskReport(VmName vm, Address address) implements TargetEffect {
	}

	/**
	 * Sends a command to an engine.
	 *
	 * @param call identifier of the call
	 * @param vm the VM
	 * @param address where its engine listens
	 * @param command the command
	 * @param notAfter this node's monotonic time after which the command must not be sent
	 */
	record SendOrder(CallIdentifier call, VmName vm, Address address, EngineCommand command,
			Instant notAfter) implements TargetEffect {
	}

	/**
	 * Reads the VM list of a data centre.
	 *
	 * @param dataCentre the data centre
	 */
	record ReadVmList(DataCentreName dataCentre) implements TargetEffect {
	}

}
