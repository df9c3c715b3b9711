import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import type { MethodDefinition, ServiceDefinition } from '@grpc/grpc-js';
import {
  CancelRequestSchema,
  CancelResponseSchema,
  ForwardEventSchema,
  ForwardRequestSchema,
} from '../../gen/forward_pb';
import {
  ExchangeMessageSchema,
  FetchConfigurationRequestSchema,
  FetchConfigurationResponseSchema,
} from '../../gen/membership_pb';

/** Ties the generated messages to grpc-js, which generates nothing itself. */

const MEMBERSHIP_PATH = '/coltsfootworks.membership.v1.Membership';
const FORWARDING_PATH = '/coltsfootworks.forward.v1.Forwarding';

interface MethodShape<Input extends DescMessage, Output extends DescMessage> {
  readonly service: string;
  readonly name: string;
  readonly input: Input;
  readonly output: Output;
  readonly responseStream: boolean;
}

function method<Input extends DescMessage, Output extends DescMessage>({
  service,
  name,
  input,
  output,
  responseStream,
}: MethodShape<Input, Output>): MethodDefinition<MessageShape<Input>, MessageShape<Output>> {
  return {
    path: `${service}/${name}`,
    requestStream: false,
    responseStream,
    requestSerialize: (message) => Buffer.from(toBinary(input, message)),
    requestDeserialize: (bytes) => fromBinary(input, bytes),
    responseSerialize: (message) => Buffer.from(toBinary(output, message)),
    responseDeserialize: (bytes) => fromBinary(output, bytes),
    originalName: name,
  };
}

/** The calls that instances offer one another; paths as the proto files have them. */
export const PEER_SERVICE = {
  exchange: method({
    service: MEMBERSHIP_PATH,
    name: 'Exchange',
    input: ExchangeMessageSchema,
    output: ExchangeMessageSchema,
    responseStream: false,
  }),
  fetchConfiguration: method({
    service: MEMBERSHIP_PATH,
    name: 'FetchConfiguration',
    input: FetchConfigurationRequestSchema,
    output: FetchConfigurationResponseSchema,
    responseStream: false,
  }),
  forward: method({
    service: FORWARDING_PATH,
    name: 'Forward',
    input: ForwardRequestSchema,
    output: ForwardEventSchema,
    responseStream: true,
  }),
  cancel: method({
    service: FORWARDING_PATH,
    name: 'Cancel',
    input: CancelRequestSchema,
    output: CancelResponseSchema,
    responseStream: false,
  }),
} satisfies ServiceDefinition;
