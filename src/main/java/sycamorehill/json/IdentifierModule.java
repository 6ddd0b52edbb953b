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
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.ticket.ItemKey;

/**
 * Serializes identifiers as plain strings, as values and as keys of a map.
 */
final class IdentifierModule extends SimpleModule {

	private static final long serialVersionUID = 1L;

	private IdentifierModule() {
		super("identifiers");
	}

	static IdentifierModule create() {
		IdentifierModule module = new IdentifierModule();
		module.registerValueAndKey(Address.class, Address::toString, Address::parse);
		module.registerValueAndKey(DataCentreName.class, DataCentreName::value, DataCentreName::of);
		module.registerValueAndKey(FabricDomain.class, FabricDomain::value, FabricDomain::of);
		module.registerValueAndKey(FilingIdentifier.class, FilingIdentifier::value, FilingIdentifier::of);
		module.registerValueAndKey(GroupSetName.class, GroupSetName::value, GroupSetName::of);
		module.registerValueAndKey(NodeName.class, NodeName::value, NodeName::of);
		module.registerValueAndKey(RegionName.class, RegionName::value, RegionName::of);
		module.registerValueAndKey(ServiceName.class, ServiceName::value, ServiceName::of);
		module.registerValueAndKey(TargetName.class, TargetName::value, TargetName::of);
		module.registerValueAndKey(VmName.class, VmName::value, VmName::of);
		module.registerValueAndKey(WorkspaceName.class, WorkspaceName::value, WorkspaceName::of);
		module.registerValueAndKey(Fingerprint.class, Fingerprint::value, Fingerprint::new);
		module.registerValueAndKey(GroupName.class, GroupName::toString, IdentifierText::parseGroupName);
		module.registerValueAndKey(NodeIncarnation.class, NodeIncarnation::toString, IdentifierText::parseIncarnation);
		module.registerValueAndKey(RequestIdentifier.class, RequestIdentifier::toString, IdentifierText::parseRequest);
		module.registerValueAndKey(AttemptIdentifier.class, AttemptIdentifier::toString, IdentifierText::parseAttempt);
		module.registerValueAndKey(OrderKey.class, IdentifierText::format, IdentifierText::parseOrderKey);
		module.registerKey(ItemKey.class, IdentifierText::format, IdentifierText::parseItemKey);
		return module;
	}

	private <T> void registerValueAndKey(Class<T> type, Function<T, String> format, Function<String, T> parse) {
		addSerializer(type, new TextSerializer<>(type, format));
		addDeserializer(type, new TextDeserializer<>(type, parse));
		registerKey(type, format, parse);
	}

	private <T> void registerKey(Class<T> type, Function<T, String> format, Function<String, T> parse) {
		addKeySerializer(type, new TextKeySerializer<>(format));
		addKeyDeserializer(type, new TextKeyDeserializer<>(type, parse));
	}

	private static final class TextSerializer<T> extends StdScalarSerializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<T, String> format;

		TextSerializer(Class<T> type, Function<T, String> format) {
			super(type);
			this.format = format;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(this.format.apply(value));
		}

	}

	private static final class TextDeserializer<T> extends StdScalarDeserializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<String, T> parse;

		TextDeserializer(Class<T> type, Function<String, T> parse) {
			super(type);
			this.parse = parse;
		}

		@Override
		@SuppressWarnings("unchecked")
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = parser.getValueAsString();
			if (text == null) {
				return (T) context.handleUnexpectedToken(handledType(), parser);
			}
			try {
				return this.parse.apply(text);
			}
			catch (IllegalArgumentException ex) {
				return (T) context.handleWeirdStringValue(handledType(), text, "%s", ex.getMessage());
			}
		}

	}

	private static final class TextKeySerializer<T> extends JsonSerializer<T> {

		private final Function<T, String> format;

		TextKeySerializer(Function<T, String> format) {
			this.format = format;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeFieldName(this.format.apply(value));
		}

	}

	private static final class TextKeyDeserializer<T> extends KeyDeserializer {

		private final Class<T> type;

		private final Function<String, T> parse;

		TextKeyDeserializer(Class<T> type, Function<String, T> parse) {
			this.type = type;
			this.parse = parse;
		}

		@Override
		public Object deserializeKey(String text, DeserializationContext context) throws IOException {
			try {
				return this.parse.apply(text);
			}
			catch (IllegalArgumentException ex) {
				return context.handleWeirdKey(this.type, text, "%s", ex.getMessage());
			}
		}

	}

}
