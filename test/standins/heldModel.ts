import {
  EngineOrder,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {EngineSettings} from './engineSettings.js';
import {roleFits} from './stepComputation.js';

type Holding = Pick<
  EngineSettings,
  'model' | 'version' | 'adapters' | 'layers' | 'role'
>;

const ADAPTER_LOAD_MILLISECONDS = 100;
const NO_NUMBER = -1;

/** The model, layers and role that an engine holds, and the orders that it took for them. */
export class HeldModel {
  /** Numbers of the last order taken. */
  highest = {fencing: NO_NUMBER, order: NO_NUMBER};
  private current: Holding;
  private loadedAt = 0;

  constructor(private readonly settings: EngineSettings) {
    this.current = settings;
  }

  get holding(): Holding {
    return this.current;
  }

  get isLoading(): boolean {
    return performance.now() < this.loadedAt;
  }

  /** Whether an order has lower numbers than one taken before. */
  isOld(order: EngineOrder): boolean {
    const {fencing, order: number} = this.highest;
    return (
      order.fencing < fencing ||
      (order.fencing === fencing && order.order < number)
    );
  }

  /** Takes an order; answers whether it asks for other weights, which makes KV caches worthless. */
  take(order: EngineOrder): boolean {
    const {model, version, adapters, layers, role} = order;
    const {current} = this;
    this.highest = {fencing: order.fencing, order: order.order};
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

  /** Why the engine can't run a step with what it holds; undefined when it can. */
  unfitness(step: StepRequest): string | undefined {
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
    return roleFits(role, step) ? undefined : `has the role ${role}`;
  }
}
