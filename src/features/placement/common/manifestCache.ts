import {CancellationToken} from '../../../base/common/cancellation.js';
import {Clock} from '../../../base/common/clock.js';
import {
  WeightManifest,
  WeightStore,
} from '../../../infrastructure/weights/common/weightStore.js';
import {withDeadline} from '../../configuration/common/callDeadline.js';
import {Model} from '../../configuration/common/configuration.js';
import {manifestKey, Manifests} from './placementView.js';

const CALL_MILLISECONDS = 2_000;
/** A version that the weight store does not have yet is asked for again after so long. */
const RETRY_MILLISECONDS = 10_000;

/** Manifests of the configured versions; a version's weights don't change, so each is read once. */
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

  /** Reads what is missing and forgets what is no longer configured. */
  async refresh(
    models: readonly Model[],
    token: CancellationToken,
  ): Promise<void> {
    this.retain(models);
    await Promise.all(models.map(model => this.ask(model, token)));
  }

  private async ask(
    {name, version}: Model,
    token: CancellationToken,
  ): Promise<void> {
    const key = manifestKey(name, version);
    const now = this.clock.monotonicMilliseconds();
    const askedAt = this.askedAt.get(key) ?? -Infinity;
    if (this.found.has(key) || now - askedAt < RETRY_MILLISECONDS) {
      return;
    }
    this.askedAt.set(key, now);
    const answer = await withDeadline(
      this.clock,
      token,
      CALL_MILLISECONDS,
      call => this.store.manifest(name, version, call),
    );
    if (answer.ok && answer.value !== undefined) {
      this.found.set(key, answer.value);
    }
  }

  private retain(models: readonly Model[]): void {
    const wanted = new Set(
      models.map(({name, version}) => manifestKey(name, version)),
    );
    for (const map of [this.found, this.askedAt]) {
      for (const key of map.keys()) {
        if (!wanted.has(key)) {
          map.delete(key);
        }
      }
    }
  }
}
