import {
  EngineOrder,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {EngineSettings} from './engineSettings.js';
import {roleAccepts} from './stepComputation.js';

type ModelConfiguration = Pick<
  EngineSettings,
  'model' | 'version' | 'adapters' | 'layers' | 'role'
>;

const ADAPTER_LOAD_MILLISECONDS = 100;
const NO_ORDER = -1;

/** The model, layers and role of an engine, as configured by orders. */
export class LoadedModel {
  /** Fencing and order number of the last order applied. */
  lastOrder = {fencing: NO_ORDER, order: NO_ORDER};
  private current: ModelConfiguration;
  private loadedAt = 0;

  constructor(private readonly settings: EngineSettings) {
    this.current = settings;
  }

  get configuration(): ModelConfiguration {
    return this.current;
  }

  get isLoading(): boolean {
    return performance.now() < this.loadedAt;
  }

  /** Whether an order is older than the last one applied. */
  isStaleOrder(order: EngineOrder): boolean {
    const {fencing, order: orderNumber} = this.lastOrder;
    return (
      order.fencing < fencing ||
      (order.fencing === fencing && order.order < orderNumber)
    );
  }

  /** Applies an order; returns whether it changes the weights, which invalidates all KV caches. */
  apply(order: EngineOrder): boolean {
    const {model, version, adapters, layers, role} = order;
    const {current} = this;
    this.lastOrder = {fencing: order.fencing, order: order.order};
    const hasOtherWeights =
      model !== current.model ||
      version !== current.version ||
      layers.from !== current.layers.from ||
      layers.to !== current.layers.to;
    const hasAdapters = adapters.every(name => current.adapters.includes(name));
    this.current = {model, version, adapters, layers, role};
    if (hasOtherWeights) {
      this.loadedAt = performance.now() + this.settings.loadMilliseconds;
    } else if (!hasAdapters) {
      this.loadedAt = performance.now() + ADAPTER_LOAD_MILLISECONDS;
    }
    return hasOtherWeights;
  }

  /** Why the loaded model can't run a step; undefined when it can. */
  findMismatch(step: StepRequest): string | undefined {
    const {model, version, adapters, layers, role} = this.current;
    if (step.model !== model || step.version !== version) {
      return 'holds another model or version';
    }
    if (step.adapter !== undefined && !adapters.includes(step.adapter)) {
      return 'does not hold the adapter';
    }
    const {from, to} = step.layers;
    if (from < layers.from || to > layers.to || from >= to) {
      return 'does not hold these layers';
    }
    return roleAccepts(role, step) ? undefined : `has the role ${role}`;
  }
}
