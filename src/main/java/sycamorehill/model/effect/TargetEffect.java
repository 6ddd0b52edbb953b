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
	 * Asks an engine for its report.
	 *
	 * @param vm the VM
	 * @param address where its engine listens
	 */
	record AskReport(VmName vm, Address address) implements TargetEffect {
	}

	/**
	 * Sends an order to an engine.
	 *
	 * @param call the order
	 * @param vm the VM
	 * @param address where its engine listens
	 * @param command the order
	 * @param notAfter own monotonic time after which it must not be sent any more
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
