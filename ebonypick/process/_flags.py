"""The command line flags that the daemons share."""

from absl import flags

SETTINGS = flags.DEFINE_string(
    'settings', None, 'File of settings, JSON with comments.', required=True
)
