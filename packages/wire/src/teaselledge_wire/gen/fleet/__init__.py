__all__ = ['ttypes', 'constants']
