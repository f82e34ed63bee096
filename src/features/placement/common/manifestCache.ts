import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  WeightManifest,
  WeightStore,
} from '../../../infrastructure/weights/common/weightStore.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {Model} from '../../configuration/common/configuration.js';
import {manifestKey, Manifests} from './placementView.js';

const CALL_TIMEOUT_MILLISECONDS = 2_000;
/** Delay before the weight store is asked again for a manifest that it didn't return. */
const RETRY_DELAY_MILLISECONDS = 10_000;

/** Caches the manifests of the configured versions. A version's weights never change, so each is read once. */
export class ManifestCache {
  private readonly found = new Map<string, WeightManifest>();
  private readonly askedAt = new Map<string, number>();

  constructor(
    private readonly store: WeightStore,
    private readonly clock: Clock,
  ) {}

  get manifests(): Manifests {
    return this.found;
  }

  /** Reads missing manifests and removes those of versions that are no longer configured. */
  async refresh(
    models: readonly Model[],
    token: CancellationToken,
  ): Promise<void> {
    this.removeUnconfigured(models);
    await Promise.all(models.map(model => this.ask(model, token)));
  }

  private async ask(
    {name, version}: Model,
    token: CancellationToken,
  ): Promise<void> {
    const key = manifestKey(name, version);
    const now = this.clock.monotonicMilliseconds();
    const askedAt = this.askedAt.get(key) ?? -Infinity;
    if (this.found.has(key) || now - askedAt < RETRY_DELAY_MILLISECONDS) {
      return;
    }
    this.askedAt.set(key, now);
    const result = await withDeadline(
      this.clock,
      token,
      CALL_TIMEOUT_MILLISECONDS,
      call => this.store.manifest(name, version, call),
    );
    if (result.ok && result.value !== undefined) {
      this.found.set(key, result.value);
    }
  }

  private removeUnconfigured(models: readonly Model[]): void {
    const configuredKeys = new Set(
      models.map(({name, version}) => manifestKey(name, version)),
    );
    for (const map of [this.found, this.askedAt]) {
      for (const key of map.keys()) {
        if (!configuredKeys.has(key)) {
          map.delete(key);
        }
      }
    }
  }
}
