package sycamorehill.logic.group;

import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Specifies what the desired state requires of each group of a set.
 *
 * @param set the group set
 * @param service the service whose requests the groups answer
 * @param model the model to load
 * @param modelVersion the version of the model
 * @param ticket the later of the tickets that set the group set and the service
 */
record GroupSpecification(ModelGroupItem set, ServiceName service, String model, String modelVersion, long ticket) {

	static GroupSpecification of(AppliedItem set, ServiceItem service, long serviceSetBy) {
		return new GroupSpecification((ModelGroupItem) set.item(), service.name(), service.model(),
				service.modelVersion(), Math.max(set.setBy(), serviceSetBy));
	}

	int members() {
		return this.set.membersPerGroup();
	}

	boolean matches(GroupRecord record) {
		return record.service().equals(this.service) && record.model().equals(this.model)
				&& record.modelVersion().equals(this.modelVersion) && record.members().size() == members();
	}

}
