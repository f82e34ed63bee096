/** What operators have configured for traffic: routes, services, client accounts and limits. */

/** What may be done with a request whose first attempt did not end well. */
export type RequestKind = 'safe' | 'unsafe' | 'stream';

/** A service that a route may use, with its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative share; the shares of a route need not add up to 100. */
  readonly weight: number;
}

/** Which requests go to which services, and how long they may take. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller may be kept waiting for the end of its answer. */
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or to the first event of a stream, that counts as on time. */
  readonly latencyTargetMilliseconds: number;
  /** Longest pause between two events of a stream that counts as on time. */
  readonly pauseTargetMilliseconds: number | undefined;
  /** Upstreams that one request may be sent to at most. */
  readonly attemptLimit: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another upstream after the last event that was delivered. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A model that a service's engines can run. */
export interface EngineModel {
  readonly name: string;
  /** Seconds to load all of the model's weights. */
  readonly loadSeconds: number;
}

/** A kind of accelerator, relative to the engine's own figures. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Factor on the time of a decoding step. */
  readonly stepFactor: number;
  /** Factor on the time of reading a prompt. */
  readonly readFactor: number;
}

/** How a model is split over accelerators. */
export interface LayerModel {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  /** Bytes of activations that one token carries from one upstream to the next. */
  readonly activationBytes: number;
  /** Megabits a second between data centres, shared by all transfers. */
  readonly pipeMegabits: number;
  readonly kinds: readonly AcceleratorKind[];
}

/** The one-way delay between two data centres. */
export interface DataCentreDelay {
  readonly from: string;
  readonly to: string;
  readonly milliseconds: number;
}

/** What is known of a service's model engines. */
export interface EngineSettings {
  readonly slots: number;
  /** Tokens that the memory of a whole engine holds. */
  readonly kvTokens: number;
  /** Bytes of KV cache that a token takes over all layers. */
  readonly kvTokenBytes: number;
  /** Tokens that one event of a stream holds; a shorter last one aside. */
  readonly tokensPerEvent: number;
  /** A decoding step over all layers. */
  readonly stepMilliseconds: number;
  readonly promptTokensPerSecond: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Milliseconds by which load reports lag. */
  readonly reportLagMilliseconds: number;
  readonly models: readonly EngineModel[];
  readonly delays: readonly DataCentreDelay[];
  /** Undefined where each engine holds the whole model. */
  readonly layers: LayerModel | undefined;
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  readonly connectionLimit: number;
  /** Undefined for plain services. */
  readonly engine: EngineSettings | undefined;
}

/** Bounds on what callers may send. */
export interface TrafficLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** A holder of keys. */
export interface TrafficAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of routes; undefined where the account has none. */
  readonly priority: number | undefined;
}

/** Everything that operators have configured for traffic, as one version. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: TrafficLimits;
  /** Undefined where no keys are asked for. */
  readonly accounts: readonly TrafficAccount[] | undefined;
}
