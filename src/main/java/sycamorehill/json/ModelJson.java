package sycamorehill.json;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import com.fasterxml.jackson.datatype.pcollections.PCollectionsModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Creates mappers for the records of the model, which have no annotations. Identifiers
 * are plain strings, the property {@code type} distinguishes the subtypes of a sealed
 * interface, and times are ISO 8601 text. Unknown properties are ignored, so that an old
 * node can read what a new one writes.
 */
public final class ModelJson {

	private ModelJson() {
	}

	/**
	 * Creates a mapper for JSON.
	 * @return the mapper
	 */
	public static ObjectMapper json() {
		return configure(new ObjectMapper());
	}

	/**
	 * Creates a mapper for MessagePack.
	 * @return the mapper
	 */
	public static ObjectMapper messagePack() {
		return configure(new ObjectMapper(new MessagePackFactory()));
	}

	private static ObjectMapper configure(ObjectMapper mapper) {
		mapper.registerModules(new Jdk8Module(), new JavaTimeModule(), new PCollectionsModule(),
				IdentifierModule.create());
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
		mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
		registerSubtypes(mapper);
		return mapper;
	}

	private static void registerSubtypes(ObjectMapper mapper) {
		mapper.addMixIn(Item.class, TypedByProperty.class);
		mapper.registerSubtypes(new NamedType(ServiceItem.class, ItemKind.SERVICE.name()),
				new NamedType(ModelGroupItem.class, ItemKind.MODEL_GROUP.name()),
				new NamedType(WorkspaceItem.class, ItemKind.WORKSPACE.name()));
		mapper.addMixIn(RequestOutcome.class, TypedByProperty.class);
		mapper.registerSubtypes(new NamedType(RequestOutcome.Completed.class, "COMPLETED"),
				new NamedType(RequestOutcome.Replayed.class, "REPLAYED"),
				new NamedType(RequestOutcome.NotRun.class, "NOT_RUN"),
				new NamedType(RequestOutcome.Failed.class, "FAILED"),
				new NamedType(RequestOutcome.Unknown.class, "UNKNOWN"));
		mapper.addMixIn(FilingOutcome.class, TypedByProperty.class);
		mapper.registerSubtypes(new NamedType(FilingOutcome.Accepted.class, "ACCEPTED"),
				new NamedType(FilingOutcome.Refused.class, "REFUSED"),
				new NamedType(FilingOutcome.NotKnown.class, "NOT_KNOWN"));
		mapper.addMixIn(EngineCommand.class, TypedByProperty.class);
		mapper.registerSubtypes(new NamedType(EngineCommand.Join.class, "JOIN"),
				new NamedType(EngineCommand.Leave.class, "LEAVE"));
	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	private interface TypedByProperty {

	}

}
