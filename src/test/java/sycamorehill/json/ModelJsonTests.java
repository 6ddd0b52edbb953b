package sycamorehill.json;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.pcollections.HashTreePMap;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.membership.NodeAnnouncement;
import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.order.OrderStatus;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.AcceptedFiling;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.IdempotencyRule;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.TicketValue;
import sycamorehill.model.ticket.WorkspaceItem;

class ModelJsonTests {

	private static final DataCentreName DATA_CENTRE = DataCentreName.of("fukuoka");

	private static final NodeIncarnation INCARNATION = NodeIncarnation.of(NodeName.of("node-1"), -17);

	private static final ServiceItem PLAIN_SERVICE = ServiceItem.plain(ServiceName.of("desk"),
			List.of(new PlainTarget(TargetName.of("d1"), DATA_CENTRE, Address.of("10.0.0.1", 80))),
			List.of(new IdempotencyRule("GET", "/", true)));

	static Stream<PlatformValue> platformValues() {
		return Stream.of(allocation(), shard(), ticket(), snapshot(),
				new ControllerLease(DATA_CENTRE, INCARNATION, 4, Duration.ofMillis(1500), 9),
				new NodeAnnouncement(new NodeIdentity(INCARNATION, DATA_CENTRE, Address.of("10.0.0.2", 70)), 12));
	}

	@ParameterizedTest
	@MethodSource("platformValues")
	void platformValueSurvivesJsonRoundTrip(PlatformValue value) throws IOException {
		ObjectMapper mapper = ModelJson.json();
		Assertions.assertThat(mapper.readValue(mapper.writeValueAsBytes(value), value.getClass())).isEqualTo(value);
	}

	@ParameterizedTest
	@MethodSource("platformValues")
	void platformValueSurvivesMessagePackRoundTrip(PlatformValue value) throws IOException {
		ObjectMapper mapper = ModelJson.messagePack();
		Assertions.assertThat(mapper.readValue(mapper.writeValueAsBytes(value), value.getClass())).isEqualTo(value);
	}

	@Test
	void outcomeKeepsItsTypeInJson() throws IOException {
		ObjectMapper mapper = ModelJson.json();
		RequestOutcome outcome = new RequestOutcome.NotRun(
				Refusal.of(RefusalReason.OVERLOADED, "busy", Duration.ofSeconds(2)));
		Assertions.assertThat(mapper.readValue(mapper.writeValueAsString(outcome), RequestOutcome.class))
			.isEqualTo(outcome);
	}

	@Test
	void identifiersArePlainStrings() throws IOException {
		Assertions.assertThat(ModelJson.json().writeValueAsString(allocation()))
			.contains("\"dataCentre\":\"fukuoka\"", "\"set/0\":{", "\"standbys\":{\"vm-3\":\"set\"}");
	}

	@Test
	void unknownPropertiesAreIgnored() throws IOException {
		Item item = ModelJson.json()
			.readValue("{\"type\":\"SERVICE\",\"name\":\"chat\",\"kind\":\"MODEL\",\"later\":[1]}", Item.class);
		Assertions.assertThat(item).isEqualTo(ServiceItem.model(ServiceName.of("chat"), "", ""));
	}

	@Test
	void blankNameIsReportedAsInvalidFormat() {
		Assertions
			.assertThatThrownBy(() -> ModelJson.json()
				.readValue("{\"type\":\"SERVICE\",\"name\":\" \",\"kind\":\"MODEL\"}", Item.class))
			.isInstanceOf(InvalidFormatException.class)
			.hasMessageContaining("a name must not be blank");
	}

	private static Allocation allocation() {
		GroupName name = GroupName.of(GroupSetName.of("set"), 0);
		GroupRecord group = new GroupRecord(GroupIdentity.of(name, 3), ServiceName.of("chat"), "m", "1",
				List.of(VmName.of("vm-1"), VmName.of("vm-2")), GroupPhase.SERVING, 7, "new", 2);
		return new Allocation(DATA_CENTRE, 2, "n1-1:5", 4, HashTreePMap.singleton(name, group),
				HashTreePMap.singleton(VmName.of("vm-3"), GroupSetName.of("set")));
	}

	private static OrderShard shard() {
		OrderKey key = new OrderKey(-1, 42);
		OrderClaim claim = new OrderClaim(key, new Fingerprint("ab"), INCARNATION, "m1", OrderStatus.RECORDED,
				Optional.of(new RecordedAnswer(200, "application/json", "{}")), 1000);
		return new OrderShard(5, 2, true, HashTreePMap.singleton(key, claim), "w");
	}

	private static TicketValue ticket() {
		TicketDraft draft = new TicketDraft(FilingIdentifier.of("f1"), "op", "why",
				List.of(ItemChange.set(PLAIN_SERVICE, 0), ItemChange.remove(ItemKey.of(ItemKind.WORKSPACE, "w"), 3)));
		return new TicketValue(new Ticket(8, Instant.parse("2026-12-02T23:00:00.123Z"), draft), "n1-1:2", 1);
	}

	private static DesiredStateSnapshot snapshot() {
		return new DesiredStateSnapshot(8,
				List.of(new AppliedItem(PLAIN_SERVICE, 8),
						new AppliedItem(new ModelGroupItem(GroupSetName.of("set"), ServiceName.of("chat"), DATA_CENTRE,
								2, 4, 1, false, true), 2),
						new AppliedItem(new WorkspaceItem(WorkspaceName.of("w"), "hash", 1.5, 2.5, 3, 1), 3)),
				1, 4, List.of(new AcceptedFiling(FilingIdentifier.of("f1"), 8)));
	}

}
