/** The traffic configuration of the operators: routes, services, client accounts and limits. */

/** How a request may be retried after its first attempt has failed. */
export type RequestKind = 'safe' | 'unsafe' | 'stream';

/** A service of a route, with its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative weight; the weights of a route need not add up to 100. */
  readonly weight: number;
}

/** Maps requests of a host and path prefix to services, with their time limits and retry rules. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time from the request to the end of the response. */
  readonly timeoutMilliseconds: number;
  /** Service level target for the time to the response, or to the first event of a stream. */
  readonly latencyTargetMilliseconds: number;
  /** Service level target for the pause between two events of a stream. */
  readonly pauseTargetMilliseconds: number | undefined;
  /** Maximum number of upstreams to which one request is sent. */
  readonly attemptLimit: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether a stream may be resumed at another upstream after the last delivered event. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A model that a service's engines can run. */
export interface EngineModel {
  readonly name: string;
  /** Seconds to load the weights of the whole model. */
  readonly loadSeconds: number;
}

/** A kind of accelerator; its factors are relative to the figures of `EngineSettings`. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Multiplies the duration of a decoding step. */
  readonly stepFactor: number;
  /** Multiplies the duration of the prefill of a prompt. */
  readonly readFactor: number;
}

/** Sizes and links of a model whose layers are split over several accelerators. */
export interface LayeredModel {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  /** Bytes of activations that are sent per token from one upstream to the next. */
  readonly activationBytes: number;
  /** Bandwidth between two data centres in Mbit/s, shared by all transfers. */
  readonly pipeMegabits: number;
  readonly kinds: readonly AcceleratorKind[];
}

/** The one-way delay between two data centres. */
export interface DataCentreDelay {
  readonly from: string;
  readonly to: string;
  readonly milliseconds: number;
}

/** Capacity and cost figures of a service's model engines. */
export interface EngineSettings {
  readonly slots: number;
  /** KV cache capacity of an engine that holds the whole model, in tokens. */
  readonly kvTokens: number;
  /** Bytes of KV cache per token, summed over all layers. */
  readonly kvTokenBytes: number;
  /** Tokens per event of a stream; the last event may hold fewer. */
  readonly tokensPerEvent: number;
  /** Duration of a decoding step over all layers. */
  readonly stepMilliseconds: number;
  readonly promptTokensPerSecond: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Delay of the load figures in reports. */
  readonly reportLagMilliseconds: number;
  readonly models: readonly EngineModel[];
  readonly delays: readonly DataCentreDelay[];
  /** Undefined when each engine holds the whole model. */
  readonly layers: LayeredModel | undefined;
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all clients together. */
  readonly connectionLimit: number;
  /** Undefined for plain services. */
  readonly engine: EngineSettings | undefined;
}

/** Limits on requests and connections of callers. */
export interface TrafficLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** A client account and its keys. */
export interface TrafficAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of routes; undefined when the account has none. */
  readonly priority: number | undefined;
}

/** One version of the traffic configuration. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: TrafficLimits;
  /** Undefined when no route requires a key. */
  readonly accounts: readonly TrafficAccount[] | undefined;
}
