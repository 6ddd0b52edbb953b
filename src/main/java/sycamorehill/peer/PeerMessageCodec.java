package sycamorehill.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;

import sycamorehill.json.ModelJson;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.peer.ContentQuarantined;
import sycamorehill.model.peer.ForceAsked;
import sycamorehill.model.peer.ForceSent;
import sycamorehill.model.peer.GroupsSent;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.peer.IsolationAnswered;
import sycamorehill.model.peer.IsolationAsked;
import sycamorehill.model.peer.IsolationReleased;
import sycamorehill.model.peer.MembersAsked;
import sycamorehill.model.peer.MembersChanged;
import sycamorehill.model.peer.MembersSent;
import sycamorehill.model.peer.OrderClaimReply;
import sycamorehill.model.peer.OrderClaimRequest;
import sycamorehill.model.peer.OrderSettlement;
import sycamorehill.model.peer.OrderSettlementReply;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.peer.PlatformSilent;
import sycamorehill.model.peer.QuarantineDigest;
import sycamorehill.model.peer.ShareAsk;
import sycamorehill.model.peer.ShareLoan;
import sycamorehill.model.peer.SuspectCleared;
import sycamorehill.model.peer.SuspectReported;
import sycamorehill.model.peer.SuspectsSpread;
import sycamorehill.model.peer.TargetLeaving;
import sycamorehill.model.peer.TicketsAsked;
import sycamorehill.model.peer.TicketsSent;
import sycamorehill.model.peer.TruthSent;
import sycamorehill.model.peer.VmSightsSent;

/**
 * Encodes and decodes messages. Each message type has a name on the wire whose meaning
 * never changes. Messages with an unknown name are ignored, so that nodes of different
 * versions can communicate.
 */
public final class PeerMessageCodec {

	private final Map<String, ObjectReader> readersByName = new HashMap<>();

	private final Map<Class<?>, String> namesByType = new HashMap<>();

	private final ObjectMapper mapper = ModelJson.messagePack();

	private final ObjectWriter writer = this.mapper.writer();

	private final ObjectReader envelopeReader = this.mapper.readerFor(PeerEnvelope.class);

	private final ObjectReader helloReader = this.mapper.readerFor(PeerHello.class);

	private PeerMessageCodec() {
	}

	/**
	 * Creates a codec without any message types.
	 * @return the codec
	 */
	public static PeerMessageCodec empty() {
		return new PeerMessageCodec();
	}

	/**
	 * Creates the codec of this build, in which every message of
	 * {@code sycamorehill.model.peer} must be registered.
	 * @return the codec
	 */
	public static PeerMessageCodec standard() {
		PeerMessageCodec codec = empty();
		codec.register("order-claim", OrderClaimRequest.class);
		codec.register("order-claim-reply", OrderClaimReply.class);
		codec.register("order-settlement", OrderSettlement.class);
		codec.register("order-settlement-reply", OrderSettlementReply.class);
		codec.register("heartbeat", Heartbeat.class);
		codec.register("members-asked", MembersAsked.class);
		codec.register("members-sent", MembersSent.class);
		codec.register("members-changed", MembersChanged.class);
		codec.register("tickets-asked", TicketsAsked.class);
		codec.register("tickets-sent", TicketsSent.class);
		codec.register("truth-sent", TruthSent.class);
		codec.register("force-asked", ForceAsked.class);
		codec.register("force-sent", ForceSent.class);
		codec.register("target-leaving", TargetLeaving.class);
		codec.register("suspect-reported", SuspectReported.class);
		codec.register("suspect-cleared", SuspectCleared.class);
		codec.register("suspects-spread", SuspectsSpread.class);
		codec.register("isolation-asked", IsolationAsked.class);
		codec.register("isolation-answered", IsolationAnswered.class);
		codec.register("isolation-released", IsolationReleased.class);
		codec.register("content-quarantined", ContentQuarantined.class);
		codec.register("quarantine-digest", QuarantineDigest.class);
		codec.register("share-ask", ShareAsk.class);
		codec.register("share-loan", ShareLoan.class);
		codec.register("vm-sights", VmSightsSent.class);
		codec.register("groups", GroupsSent.class);
		codec.register("platform-silent", PlatformSilent.class);
		return codec;
	}

	/**
	 * Registers a message type.
	 * @param name the name of the type on the wire
	 * @param type the class of the message
	 * @return this codec
	 */
	public PeerMessageCodec register(String name, Class<? extends PeerMessage> type) {
		if (this.readersByName.put(name, this.mapper.readerFor(type)) != null
				|| this.namesByType.put(type, name) != null) {
			throw new IllegalArgumentException("message type registered twice: " + name);
		}
		return this;
	}

	/**
	 * Returns the size of a message on the wire, including its frame but excluding TCP
	 * overhead.
	 * @param message the message
	 * @return the size in bytes
	 * @throws JsonProcessingException if the message can't be encoded
	 */
	public int frameLength(PeerMessage message) throws JsonProcessingException {
		return PeerProtocol.LENGTH_BYTES + FrameAuthenticator.CODE_BYTES + write(message).length;
	}

	/**
	 * Encodes a message and decodes it again, which gives the message as its receiver
	 * sees it.
	 * @param message the message of the sender
	 * @return the decoded message
	 * @throws IOException if the message can't be encoded or decoded
	 */
	public PeerMessage roundTrip(PeerMessage message) throws IOException {
		return read(write(message), 0).orElseThrow();
	}

	byte[] write(PeerMessage message) throws JsonProcessingException {
		String name = this.namesByType.get(message.getClass());
		if (name == null) {
			throw new IllegalArgumentException("message type not registered: " + message.getClass());
		}
		return this.writer.writeValueAsBytes(new PeerEnvelope(name, this.writer.writeValueAsBytes(message)));
	}

	Optional<PeerMessage> read(byte[] bytes, int offset) throws IOException {
		PeerEnvelope envelope = this.envelopeReader.readValue(bytes, offset, bytes.length - offset);
		ObjectReader reader = (envelope.type() != null) ? this.readersByName.get(envelope.type()) : null;
		if (reader == null || envelope.body() == null) {
			return Optional.empty();
		}
		return Optional.of(reader.readValue(envelope.body()));
	}

	byte[] writeHello(PeerHello hello) throws JsonProcessingException {
		return this.writer.writeValueAsBytes(hello);
	}

	PeerHello readHello(byte[] bytes, int offset) throws IOException {
		return this.helloReader.readValue(bytes, offset, bytes.length - offset);
	}

	/**
	 * Contains the message of a frame after the first one. The body is nested as bytes,
	 * so that a message of unknown type is not parsed.
	 *
	 * @param type the name of the message type on the wire
	 * @param body the encoded message
	 */
	record PeerEnvelope(String type, byte[] body) {
	}

	/**
	 * Contains the first frame of a connection. It applies to the whole connection, so
	 * that later frames need not repeat the sender.
	 *
	 * @param version the protocol version of the sender
	 * @param sender the identity of the sender
	 * @param recipient the node that the sender wants to reach; a node refuses a
	 * connection meant for another one, so that nobody can relay the challenge of one
	 * node to obtain an answer meant for another
	 */
	record PeerHello(int version, NodeIdentity sender, NodeName recipient) {
	}

}
