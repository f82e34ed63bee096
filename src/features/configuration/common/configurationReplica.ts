import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  Configuration,
  ConfigurationRevision,
  emptyConfiguration,
} from './configuration.js';
import {applyRevision} from './configurationRules.js';

/** Number of recent revisions kept for peers that lack them. */
const RECENT_REVISION_LIMIT = 64;

/** This instance's copy of the configuration. Its revision never decreases, and revisions are applied without gaps. */
export class ConfigurationReplica extends DisposableOwner {
  private readonly changed = this.register(new Emitter<Configuration>());
  private configuration = emptyConfiguration;
  private recentRevisions: readonly ConfigurationRevision[] = [];
  private known = 0;

  /** Fires after each change, with the new configuration. */
  readonly onDidChange = this.changed.event;

  get current(): Configuration {
    return this.configuration;
  }

  /** The newest revision known to exist; greater than the current one while revisions are missing. */
  get knownRevision(): number {
    return this.known;
  }

  /** Records that a revision exists, without its content. */
  observeRevision(revision: number): void {
    this.known = Math.max(this.known, revision);
  }

  /** Replaces the configuration if the given one is newer. */
  applySnapshot(configuration: Configuration): void {
    if (configuration.revision > this.configuration.revision) {
      this.recentRevisions = [];
      this.setConfiguration(configuration);
    }
  }

  /** Applies the revisions that follow the current one; skips others. Returns whether any was applied. */
  applyRevisions(revisions: readonly ConfigurationRevision[]): boolean {
    let next = this.configuration;
    const applied: ConfigurationRevision[] = [];
    for (const revision of revisions) {
      this.observeRevision(revision.revision);
      if (revision.revision === next.revision + 1) {
        next = applyRevision(next, revision);
        applied.push(revision);
      }
    }
    if (applied.length === 0) {
      return false;
    }
    this.recentRevisions = [...this.recentRevisions, ...applied].slice(
      -RECENT_REVISION_LIMIT,
    );
    this.setConfiguration(next);
    return true;
  }

  /** The revisions after the given one; undefined if they are no longer all kept, so that a snapshot is needed. */
  revisionsAfter(
    revision: number,
  ): readonly ConfigurationRevision[] | undefined {
    if (revision >= this.configuration.revision) {
      return [];
    }
    const newer = this.recentRevisions.filter(item => item.revision > revision);
    return newer[0]?.revision === revision + 1 ? newer : undefined;
  }

  private setConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    this.observeRevision(configuration.revision);
    this.changed.fire(configuration);
  }
}
