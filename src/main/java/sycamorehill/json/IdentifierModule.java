package sycamorehill.json;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.ticket.ItemKey;

/**
 * Writes identifiers as plain strings, also where they are the keys of a map.
 */
final class IdentifierModule extends SimpleModule {

	private static final long serialVersionUID = 1L;

	private IdentifierModule() {
		super("identifiers");
	}

	static IdentifierModule create() {
		IdentifierModule module = new IdentifierModule();
		module.text(Address.class, Address::toString, Address::parse);
		module.text(DataCentreName.class, DataCentreName::value, DataCentreName::of);
		module.text(FabricDomain.class, FabricDomain::value, FabricDomain::of);
		module.text(FilingIdentifier.class, FilingIdentifier::value, FilingIdentifier::of);
		module.text(GroupSetName.class, GroupSetName::value, GroupSetName::of);
		module.text(NodeName.class, NodeName::value, NodeName::of);
		module.text(ServiceName.class, ServiceName::value, ServiceName::of);
		module.text(TargetName.class, TargetName::value, TargetName::of);
		module.text(VmName.class, VmName::value, VmName::of);
		module.text(WorkspaceName.class, WorkspaceName::value, WorkspaceName::of);
		module.text(Fingerprint.class, Fingerprint::value, Fingerprint::new);
		module.text(GroupName.class, GroupName::toString, IdentifierText::groupName);
		module.text(NodeIncarnation.class, NodeIncarnation::toString, IdentifierText::incarnation);
		module.text(RequestIdentifier.class, RequestIdentifier::toString, IdentifierText::request);
		module.text(AttemptIdentifier.class, AttemptIdentifier::toString, IdentifierText::attempt);
		module.text(OrderKey.class, IdentifierText::write, IdentifierText::orderKey);
		module.key(ItemKey.class, IdentifierText::write, IdentifierText::itemKey);
		return module;
	}

	private <T> void text(Class<T> type, Function<T, String> write, Function<String, T> read) {
		addSerializer(type, new TextSerializer<>(type, write));
		addDeserializer(type, new TextDeserializer<>(type, read));
		key(type, write, read);
	}

	private <T> void key(Class<T> type, Function<T, String> write, Function<String, T> read) {
		addKeySerializer(type, new TextKeySerializer<>(write));
		addKeyDeserializer(type, new TextKeyDeserializer<>(type, read));
	}

	private static final class TextSerializer<T> extends StdScalarSerializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<T, String> write;

		TextSerializer(Class<T> type, Function<T, String> write) {
			super(type);
			this.write = write;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(this.write.apply(value));
		}

	}

	private static final class TextDeserializer<T> extends StdScalarDeserializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<String, T> read;

		TextDeserializer(Class<T> type, Function<String, T> read) {
			super(type);
			this.read = read;
		}

		@Override
		@SuppressWarnings("unchecked")
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = parser.getValueAsString();
			if (text == null) {
				return (T) context.handleUnexpectedToken(handledType(), parser);
			}
			try {
				return this.read.apply(text);
			}
			catch (IllegalArgumentException ex) {
				return (T) context.handleWeirdStringValue(handledType(), text, "%s", ex.getMessage());
			}
		}

	}

	private static final class TextKeySerializer<T> extends JsonSerializer<T> {

		private final Function<T, String> write;

		TextKeySerializer(Function<T, String> write) {
			this.write = write;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeFieldName(this.write.apply(value));
		}

	}

	private static final class TextKeyDeserializer<T> extends KeyDeserializer {

		private final Class<T> type;

		private final Function<String, T> read;

		TextKeyDeserializer(Class<T> type, Function<String, T> read) {
			this.type = type;
			this.read = read;
		}

		@Override
		public Object deserializeKey(String text, DeserializationContext context) throws IOException {
			try {
				return this.read.apply(text);
			}
			catch (IllegalArgumentException ex) {
				return context.handleWeirdKey(this.type, text, "%s", ex.getMessage());
			}
		}

	}

}
