import {Emitter} from '../../../base/common/event.js';
import {DisposableOwner} from '../../../base/common/lifecycle.js';
import {
  Configuration,
  ConfigurationRevision,
  emptyConfiguration,
} from './configuration.js';
import {applyRevision} from './configurationRules.js';

/** Revisions kept for peers that miss some. */
const RECENT_LIMIT = 64;

/** This instance's copy of the configuration: goes through the revisions strictly in order, never back. */
export class ConfigurationReplica extends DisposableOwner {
  private readonly changed = this.register(new Emitter<Configuration>());
  private configuration = emptyConfiguration;
  private recent: readonly ConfigurationRevision[] = [];
  private known = 0;

  /** Fires after each newer configuration. */
  readonly onDidChange = this.changed.event;

  get current(): Configuration {
    return this.configuration;
  }

  /** The newest revision that is known to exist; larger than the current one while some are missing. */
  get knownRevision(): number {
    return this.known;
  }

  /** Notes that a revision exists without having it. */
  noteRevision(revision: number): void {
    this.known = Math.max(this.known, revision);
  }

  /** Takes a whole configuration if it is newer. */
  applySnapshot(configuration: Configuration): void {
    if (configuration.revision > this.configuration.revision) {
      this.recent = [];
      this.take(configuration);
    }
  }

  /** Applies the revisions that follow the current one; stops at the first gap. Returns whether any was applied. */
  applyRevisions(revisions: readonly ConfigurationRevision[]): boolean {
    let next = this.configuration;
    const applied: ConfigurationRevision[] = [];
    for (const revision of revisions) {
      this.noteRevision(revision.revision);
      if (revision.revision === next.revision + 1) {
        next = applyRevision(next, revision);
        applied.push(revision);
      }
    }
    if (applied.length === 0) {
      return false;
    }
    this.recent = [...this.recent, ...applied].slice(-RECENT_LIMIT);
    this.take(next);
    return true;
  }

  /** The revisions that follow one, as far as they are kept without a gap; undefined when a snapshot is needed. */
  revisionsAfter(
    revision: number,
  ): readonly ConfigurationRevision[] | undefined {
    if (revision >= this.configuration.revision) {
      return [];
    }
    const following = this.recent.filter(item => item.revision > revision);
    return following[0]?.revision === revision + 1 ? following : undefined;
  }

  private take(configuration: Configuration): void {
    this.configuration = configuration;
    this.noteRevision(configuration.revision);
    this.changed.fire(configuration);
  }
}
